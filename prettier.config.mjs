export default { singleQuote: true, printWidth: 100, trailingComma: 'all' };

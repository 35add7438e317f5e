import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier/flat';

// Each package may import only the packages to its left, so that no layer depends on a higher one.
// standins, place and bench serve development and tests; the packages of the product never import
// them.
const LAYERS = ['utils', 'protocol', 'coordination', 'routing', 'server', 'cli'];
// The relay is an alternative to the server: it serves the routes of a configuration without Nest
// and gRPC.
const SIDE_PACKAGES = {
  relay: ['utils', 'protocol', 'routing'],
  standins: ['utils', 'protocol'],
  place: ['utils', 'protocol', 'standins'],
  bench: ['utils', 'protocol', 'coordination', 'routing', 'standins', 'place'],
};

const allPackages = [...LAYERS, ...Object.keys(SIDE_PACKAGES)];
const allowedByPackage = Object.fromEntries([
  ...LAYERS.map((name, index) => [name, LAYERS.slice(0, index)]),
  ...Object.entries(SIDE_PACKAGES),
]);
// The two library packages do not import each other, so that each can be used alone.
allowedByPackage.routing = ['utils', 'protocol'];

const layerRules = Object.entries(allowedByPackage).map(([name, allowed]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            group: allPackages
              .filter((other) => other !== name && !allowed.includes(other))
              .map((other) => `@cactusstair/${other}`),
            message: `packages/${name} may import only: ${allowed.join(', ') || 'nothing'}.`,
          },
          {
            group: ['@cactusstair/*/*', '**/../../*/src/*'],
            message: 'Import a package through its index only.',
          },
        ].filter((pattern) => pattern.group.length > 0),
      },
    ],
  },
}));

// Only platform/ depends on the platform: no package imports it or contains its names.
const PLATFORM_NAMES =
  '/x-attempt-id|x-response-seal|x-not-executed|x-expect-instance|x-prompt-prefix|x-token-counts|x-request-urgency|x-weight-versions|cactusstair.(objects|readiness|report|kv-)|CACTUSSTAIR_BOOT/i';
const platformRules = [
  {
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: `Literal[value=${PLATFORM_NAMES}]`,
          message: 'Names of the platform are allowed in platform/ only.',
        },
        {
          selector: 'ImportDeclaration[source.value="@cactusstair/platform"]',
          message: 'Only platform/ and tests may import the platform.',
        },
      ],
    },
  },
  {
    files: ['platform/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: allPackages
                .filter((name) => name !== 'utils' && name !== 'relay')
                .map((name) => `@cactusstair/${name}`),
              message:
                'platform/ implements the interfaces of the relay and imports no other part.',
            },
            { group: ['@cactusstair/*/*'], message: 'Import a package through its index only.' },
          ],
        },
      ],
    },
  },
];

export default [
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'packages/protocol/src/generated/**',
      'runs/**',
      'target/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.base.typescript,
  {
    files: ['**/*.ts', '**/*.mjs'],
    languageOptions: {
      parserOptions: {
        projectService: { allowDefaultProject: ['*.mjs', 'tests/*.mjs', 'examples/*.mjs'] },
      },
    },
    rules: {
      // Type imports are separate statements.
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      'import-x/no-duplicates': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // Loops for a connection or a peer await each step in order.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'prefer-destructuring': 'off',
      '@typescript-eslint/prefer-destructuring': 'off',
      'no-restricted-syntax': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'no-underscore-dangle': 'off',
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      '@typescript-eslint/return-await': 'off',
      // Const objects share a name with the string union that is derived from them.
      '@typescript-eslint/no-redeclare': 'off',
      '@typescript-eslint/naming-convention': 'off',
      'max-lines': ['error', { max: 320, skipBlankLines: true, skipComments: true }],
      'max-classes-per-file': ['error', 3],
    },
  },
  {
    files: ['tests/**/*.ts', 'tests/**/*.mjs', 'examples/**/*.mjs'],
    rules: { 'no-console': 'off', '@typescript-eslint/no-floating-promises': 'off' },
  },
  ...layerRules,
  ...platformRules,
  prettier,
];

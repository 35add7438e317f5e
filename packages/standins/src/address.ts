/** Splits `host:port`; the port may be 0. */
export function parseAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  const port = Number(address.slice(separator + 1));
  if (separator < 1 || !Number.isInteger(port) || port < 0 || port > 65535) {
    throw new Error(`"${address}" is not an address of the form host:port`);
  }
  return { host: address.slice(0, separator), port };
}

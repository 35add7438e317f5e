/** Returns the sum of all samples of a metric in the Prometheus text format; 0 if it is missing. */
export function sumMetric(text: string, name: string): number {
  return text
    .split('\n')
    .filter((line) => line.startsWith(`${name} `) || line.startsWith(`${name}{`))
    .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
}

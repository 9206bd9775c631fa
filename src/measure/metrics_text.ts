/** Parses the Prometheus text format of a daemon's `/metrics`. */

const SAMPLE_PATTERN = /^([a-zA-Z_:][\w:]*)(\{[^}]*\})? (\S+)$/;

/** Sample values by name and labels, such as `calls_total{party="store"}`. */
export class MetricsText {
  private readonly samples = new Map<string, number>();

  constructor(text: string) {
    for (const line of text.split('\n')) {
      if (line === '' || line.startsWith('#')) continue;
      const match = SAMPLE_PATTERN.exec(line);
      if (match === null) throw new Error(`invalid metrics line: ${line}`);
      const [, name = '', labels = '', value] = match;
      this.samples.set(`${name}${labels}`, Number(value));
    }
  }

  /** Returns 0 if there is no sample, since a counter may not have started. */
  counter(name: string): number {
    return this.samples.get(name) ?? 0;
  }

  /** Throws if there is no sample: gauges are always set, so `name` is wrong. */
  gauge(name: string): number {
    const value = this.samples.get(name);
    if (value === undefined) throw new Error(`no metric named ${name}`);
    return value;
  }
}

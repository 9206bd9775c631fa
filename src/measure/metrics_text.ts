/** Reads the Prometheus text format as a daemon's `/metrics` writes it. */

const SAMPLE_PATTERN = /^([a-zA-Z_:][\w:]*)(\{[^}]*\})? (\S+)$/;

/** Values by name with labels, for example `calls_total{party="store"}`. */
export class MetricsText {
  private readonly samples = new Map<string, number>();

  constructor(text: string) {
    for (const line of text.split('\n')) {
      if (line === '' || line.startsWith('#')) continue;
      const match = SAMPLE_PATTERN.exec(line);
      if (match === null) throw new Error(`not a metrics sample: ${line}`);
      const [, name = '', labels = '', value] = match;
      this.samples.set(`${name}${labels}`, Number(value));
    }
  }

  /** Returns 0 for a counter that has not counted yet. */
  counter(name: string): number {
    return this.samples.get(name) ?? 0;
  }

  /** Throws if there is no such gauge, since its name must be wrong. */
  gauge(name: string): number {
    const value = this.samples.get(name);
    if (value === undefined) throw new Error(`no metric is named ${name}`);
    return value;
  }
}

/**
 * Output of the command-line tool: tables for terminals, JSON for programs.
 */

import type {Writable} from 'node:stream';

const COLUMN_GAP = '  ';

/** Writes a heading and rows; each column is as wide as its widest cell. */
export function writeTable(
  output: Writable,
  heading: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): void {
  const widths = heading.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  for (const row of [heading, ...rows]) {
    const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
    output.write(`${cells.join(COLUMN_GAP).trimEnd()}\n`);
  }
}

export function writeJson(output: Writable, value: unknown): void {
  output.write(`${JSON.stringify(value, undefined, 2)}\n`);
}

/** Formats milliseconds since the Unix epoch as ISO 8601 in UTC. */
export function formatTime(milliseconds: number): string {
  return new Date(milliseconds).toISOString();
}

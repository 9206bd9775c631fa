#!/usr/bin/env node
/**
 * `npm run experiment -- FILE --seed N`: runs a scenario on the emulator and
 * prints a table of the queues and a plot of the running tasks. Exits with 1 if
 * a rule was violated or a job stayed open, and with 2 if FILE is not valid.
 */

import {readFile} from 'node:fs/promises';
import {Cli, Command, Option} from 'clipanion';
import * as t from 'typanion';
import {scenarioSchema} from './day.js';
import type {ExperimentReport} from './experiment.js';
import {Experiment} from './experiment.js';

const EXIT_VIOLATION = 1;
const EXIT_USAGE = 2;
const PLOT_WIDTH = 50;

class ExperimentCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'runs a scenario on the emulated platform',
    examples: [
      ['a scenario with takeovers', '$0 emulator/days/takeovers.json'],
    ],
  });

  private readonly file = Option.String({name: 'FILE'});
  private readonly seed = Option.String('--seed', '1', {
    description: 'seed of the load and of the choice of workers',
    validator: t.isNumber(),
  });
  private readonly json = Option.Boolean('--json', false, {
    description: 'print the report as JSON',
  });

  override async execute(): Promise<number> {
    let value: unknown;
    try {
      value = JSON.parse(await readFile(this.file, 'utf8'));
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.context.stderr.write(
        `${this.file}: ${detail}; pass a readable JSON file\n`,
      );
      return EXIT_USAGE;
    }
    const parsed = scenarioSchema.safeParse(value);
    if (!parsed.success) {
      const [issue] = parsed.error.issues;
      const field = issue?.path.join('.') ?? '';
      this.context.stderr.write(
        `${this.file}: ${field}: ${issue?.message ?? 'wrong'}; correct it\n`,
      );
      return EXIT_USAGE;
    }
    const report = await new Experiment(parsed.data, this.seed).run();
    this.context.stdout.write(this.json ? asJson(report) : asText(report));
    const open = report.queues.some((queue) => queue.open > 0);
    return report.violations.length > 0 || open ? EXIT_VIOLATION : 0;
  }
}

function asText(report: ExperimentReport): string {
  const lines = [
    'queue            asked in time   late   open   p50 ms   p99 ms',
  ];
  for (const queue of report.queues) {
    const cells = [
      queue.asked,
      queue.inTime,
      queue.late,
      queue.open,
      queue.durations.getValueAtPercentile(50),
      queue.durations.getValueAtPercentile(99),
    ];
    const row = cells.map((cell, i) => String(cell).padStart(i < 4 ? 6 : 8));
    lines.push(`${queue.queue.padEnd(15)} ${row.join(' ')}`);
  }
  lines.push(
    `starts ${report.starts}, runs without result ${report.wastedRuns}`,
  );
  const highest = Math.max(1, ...report.running);
  report.running.forEach((count, second) => {
    const bar = '#'.repeat(Math.round((count / highest) * PLOT_WIDTH));
    lines.push(
      `${String(second + 1).padStart(4)} s ${String(count).padStart(5)} ${bar}`,
    );
  });
  lines.push(`rules broken: ${report.violations.length}`);
  lines.push(...report.violations.map((violation) => `  ${violation}`));
  return `${lines.join('\n')}\n`;
}

function asJson(report: ExperimentReport): string {
  const queues = report.queues.map(({durations, ...queue}) => ({
    ...queue,
    p50Ms: durations.getValueAtPercentile(50),
    p99Ms: durations.getValueAtPercentile(99),
  }));
  return `${JSON.stringify({...report, queues}, undefined, 2)}\n`;
}

const cli = new Cli({binaryName: 'experiment', binaryLabel: 'Emulator'});
cli.register(ExperimentCommand);
await cli.runExit(process.argv.slice(2));

#!/usr/bin/env node
/**
 * `npm run soak -- --seed N`: runs the soak with one or more seeds. Exits with
 * 1 if a rule was violated, and with 130 after SIGINT or SIGTERM. Saves the
 * daemons' logs to a folder whose path it prints if a rule was violated or a
 * job was given up wrongly.
 */

import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Cli, Command, Option} from 'clipanion';
import * as t from 'typanion';
import type {SoakReport} from './soak.js';
import {soak} from './soak.js';

const EXIT_VIOLATION = 1;
const EXIT_INTERRUPTED = 130;

class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description:
      'injects faults into real daemons and checks the documented rules',
  });

  private readonly seed = Option.String('--seed', '1', {
    description: 'first seed',
    validator: t.isNumber(),
  });
  private readonly seeds = Option.String('--seeds', '1', {
    description: 'number of consecutive seeds, run one after the other',
    validator: t.isNumber(),
  });
  private readonly seconds = Option.String('--seconds', '20', {
    description: 'seconds with faults, per seed',
    validator: t.isNumber(),
  });
  private readonly daemons = Option.String('--daemons', '3', {
    description: 'number of daemon processes',
    validator: t.isNumber(),
  });
  private readonly racks = Option.String('--racks', '2', {
    description: 'number of racks, with four workers each',
    validator: t.isNumber(),
  });
  private readonly takeovers = Option.Boolean('--takeovers', false, {
    description: 'replace the leader repeatedly while workers crash',
  });
  private readonly cuts = Option.Boolean('--cuts', false, {
    description: 'cut workers off repeatedly while they and others crash',
  });
  private readonly crowds = Option.Boolean('--crowds', false, {
    description: 'play small crowds of clients outside lowered limits',
  });
  private readonly uneven = Option.Boolean('--uneven', false, {
    description: 'give the workers different speeds',
  });

  override async execute(): Promise<number> {
    const stop = new AbortController();
    for (const signal of ['SIGINT', 'SIGTERM'] as const) {
      process.once(signal, () => stop.abort());
    }
    let hasViolations = false;
    for (let seed = this.seed; seed < this.seed + this.seeds; seed += 1) {
      const report = await soak({
        seed,
        faultsMs: this.seconds * 1_000,
        daemons: this.daemons,
        racks: this.racks,
        workersPerRack: 4,
        repeatsTakeovers: this.takeovers,
        repeatsCuts: this.cuts,
        repeatsCrowds: this.crowds,
        hasUnevenWorkers: this.uneven,
        stop: stop.signal,
      });
      if (stop.signal.aborted) return EXIT_INTERRUPTED;
      this.context.stdout.write(asText(seed, report));
      const isBroken = report.violations.length > 0;
      hasViolations ||= isBroken;
      if (!isBroken && report.counts.givenUpWrongly === 0) continue;
      this.context.stdout.write(`  logs: ${await keepLogs(seed, report)}\n`);
    }
    return hasViolations ? EXIT_VIOLATION : 0;
  }
}

function asText(seed: number, report: SoakReport): string {
  const {counts, violations, wronglyGivenUp, starts, faults} = report;
  const summary =
    `seed ${seed}: ${counts.submitted} jobs, ${counts.accepted} accepted, ` +
    `${counts.refused} refused, ${counts.undecided} undecided, ` +
    `${counts.ended} ended, ${counts.givenUp} given up, of these ` +
    `${counts.givenUpWrongly} wrongly; ${starts} starts; ` +
    `${faults.length} faults; ` +
    `rules broken: ${violations.length}`;
  const lines = [
    ...violations,
    ...wronglyGivenUp.map((job) => `given up wrongly: ${job}`),
  ];
  return [summary, ...lines.map((line) => `  ${line}`), ''].join('\n');
}

async function keepLogs(seed: number, report: SoakReport): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), `soak-seed-${seed}-`));
  for (const [name, lines] of report.logs) {
    await writeFile(join(folder, `${name}.log`), lines.join('\n'));
  }
  await writeFile(join(folder, 'faults.log'), report.faults.join('\n'));
  await writeFile(join(folder, 'crashes.log'), report.crashes.join('\n'));
  return folder;
}

const cli = new Cli({binaryName: 'soak', binaryLabel: 'Soak'});
cli.register(SoakCommand);
await cli.runExit(process.argv.slice(2));

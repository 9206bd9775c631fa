/**
 * Commands for a site on the hosting platform: status, job lists, details of a
 * job, work that slows other work down, and cancellation. `--daemon` takes the peer address of any daemon.
 */

import {Command, Option} from 'clipanion';
import type {SiteInterference, SiteStatus} from '../entry/site_operators.js';
import type {JobReport} from '../leader/jobs/reports.js';
import {OperatorCommand} from './command.js';
import {formatTime, writeTable} from './output.js';

export class SiteStatusCommand extends OperatorCommand {
  static override paths = [['site', 'status']];
  static override usage = Command.Usage({
    category: 'Hosted site',
    description: "Show one daemon's view of a hosted site",
  });

  override async execute(): Promise<number> {
    return this.reportResult(await this.client().siteStatus(), (status) => {
      this.print(status);
    });
  }

  private print(status: SiteStatus): void {
    const {configuration, leader, leading} = status;
    const ready = status.isReady ? 'ready' : 'not ready';
    this.writeLine(`${status.vmId} in ${status.availabilityZone}, ${ready}`);
    this.writeLine(
      configuration === undefined
        ? 'no configuration yet'
        : `configuration version ${configuration.version}, ` +
            `confirmed ${configuration.ageMs} ms ago`,
    );
    this.writeLine(
      leader === undefined
        ? 'no leader'
        : `leader ${leader.vmId} at ${leader.address}, term ${leader.term}`,
    );
    this.writeLine(`${status.members} daemons have registered`);
    if (leading === undefined) return;
    const {workers, openJobs, evacuation} = leading;
    this.writeLine(`${openJobs} open jobs, ${workers.runs} runs`);
    if (evacuation.zones.length > 0) {
      this.writeLine(
        `evacuated: ${evacuation.zones.join(', ')}; ${evacuation.runs} runs ` +
          `still there, ${evacuation.withheldStarts} starts withheld`,
      );
    }
    writeTable(
      this.context.stdout,
      ['WORKERS', 'ACCEPTING', 'DRAINING', 'SILENT', 'QUARANTINED'],
      [
        [
          String(workers.total),
          String(workers.accepting),
          String(workers.draining),
          String(workers.silent),
          String(workers.quarantined),
        ],
      ],
    );
  }
}

export class SiteJobsCommand extends OperatorCommand {
  static override paths = [['site', 'jobs']];
  static override usage = Command.Usage({
    category: 'Hosted site',
    description: 'List the jobs that have not ended',
  });

  override async execute(): Promise<number> {
    return this.reportResult(await this.client().siteJobs(), ({jobs}) => {
      writeTable(
        this.context.stdout,
        ['JOB', 'QUEUE', 'CUSTOMER', 'STATE', 'DONE', 'PLACED', 'WAITING'],
        jobs.map(({jobId, queueId, customerId, state, units}) => [
          jobId,
          queueId,
          customerId ?? '-',
          state,
          String(units.done),
          String(units.placed),
          String(units.waiting),
        ]),
      );
    });
  }
}

export class SiteJobCommand extends OperatorCommand {
  static override paths = [['site', 'job']];
  static override usage = Command.Usage({
    category: 'Hosted site',
    description: 'Show one job: where its tasks run, or why they wait',
  });

  jobId = Option.String();

  override async execute(): Promise<number> {
    return this.reportResult(
      await this.client().siteJob(this.jobId),
      (report) => {
        this.print(report);
      },
    );
  }

  private print(report: JobReport): void {
    const {units} = report;
    this.writeLine(`job ${report.jobId} in queue ${report.queueId}`);
    this.writeLine(`  customer   ${report.customerId ?? '-'}`);
    this.writeLine(`  state      ${report.state}`);
    this.writeLine(`  accepted   ${formatTime(report.acceptedAt)}`);
    this.writeLine(
      `  units      ${units.done} done, ${units.placed} placed, ` +
        `${units.waiting} waiting`,
    );
    for (const unit of report.openUnits) {
      const failures =
        unit.failures > 0 ? `, failed ${unit.failures} times` : '';
      const reason = unit.reason === undefined ? '' : `: ${unit.reason}`;
      this.writeLine(
        `  ${unit.name} (${unit.tasks} tasks${failures})${reason}`,
      );
      for (const run of unit.runs) {
        const {speed} = run;
        const worker =
          speed === undefined
            ? ''
            : `, worker takes ${speed.factor} times as long as usual ` +
              `(${speed.observations} observations)`;
        this.writeLine(
          `    ${run.task} run ${run.run} on ${run.workerId}: ` +
            `${run.phase}, ${run.percent}%${worker}`,
        );
      }
    }
  }
}

export class SiteInterferenceCommand extends OperatorCommand {
  static override paths = [['site', 'interference']];
  static override usage = Command.Usage({
    category: 'Hosted site',
    description: 'List the kinds of work that slow each other down',
  });

  override async execute(): Promise<number> {
    return this.reportResult(
      await this.client().siteInterference(),
      ({pairs}) => {
        if (pairs.length === 0) this.writeLine('no pair is known');
        else this.print(pairs);
      },
    );
  }

  private print(pairs: SiteInterference['pairs']): void {
    writeTable(
      this.context.stdout,
      ['SLOWED', 'BESIDE', 'RUN TIME', 'RUNS SEEN'],
      pairs.map(({slowed, beside, slowdown, observations}) => [
        slowed,
        beside,
        `${slowdown.toFixed(2)}x`,
        String(observations),
      ]),
    );
  }
}

export class SiteCancelCommand extends OperatorCommand {
  static override paths = [['site', 'cancel']];
  static override usage = Command.Usage({
    category: 'Hosted site',
    description: 'Cancel a job and stop its tasks',
  });

  jobId = Option.String();

  override async execute(): Promise<number> {
    const cancelled = await this.client().cancelSiteJob(this.jobId);
    return this.reportResult(cancelled, ({jobId}) => {
      this.writeLine(`job ${jobId} is cancelled`);
    });
  }
}

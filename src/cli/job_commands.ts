/**
 * Commands that list, explain and cancel jobs.
 */

import {Command, Option} from 'clipanion';
import type {JobReport} from '../interfaces/peer_client.js';
import {OperatorCommand} from './command.js';
import {formatTime, writeTable} from './output.js';

export class JobsListCommand extends OperatorCommand {
  static override paths = [['jobs', 'list']];
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'List the jobs of all reachable zones',
  });

  override async execute(): Promise<number> {
    return this.reportResult(await this.client().jobs(), ({jobs}) => {
      writeTable(
        this.context.stdout,
        ['JOB', 'CUSTOMER', 'CLASS', 'ZONE', 'SHAPE', 'STATE', 'SUBMITTED'],
        jobs.map(({record}) => [
          record.jobId,
          record.customerId,
          record.workClassId,
          record.availabilityZone,
          `${record.shape.tasks} x ${record.shape.acceleratorsPerTask}`,
          record.state,
          formatTime(record.submittedAt),
        ]),
      );
    });
  }
}

abstract class SingleJobCommand extends OperatorCommand {
  jobId = Option.String();

  protected print({record, inStore}: JobReport): void {
    this.writeLine(`job ${record.jobId} of ${record.customerId}`);
    this.writeLine(`  class      ${record.workClassId}`);
    this.writeLine(`  zone       ${record.availabilityZone}`);
    this.writeLine(`  state      ${record.state} (${record.reason})`);
    this.writeLine(`  attempts   ${record.attempts}`);
    this.writeLine(`  submitted  ${formatTime(record.submittedAt)}`);
    if (record.checkpoint) this.writeLine(`  checkpoint ${record.checkpoint}`);
    this.writeLine(`  kept in    ${inStore ? 'the store' : 'memory only'}`);
  }
}

export class JobsShowCommand extends SingleJobCommand {
  static override paths = [['jobs', 'show']];
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'Show the record of one job',
  });

  override async execute(): Promise<number> {
    return this.reportResult(await this.client().job(this.jobId), (report) => {
      this.print(report);
    });
  }
}

export class JobsCancelCommand extends SingleJobCommand {
  static override paths = [['jobs', 'cancel']];
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'Cancel a job and stop its gang',
  });

  override async execute(): Promise<number> {
    return this.reportResult(
      await this.client().cancelJob(this.jobId),
      (report) => {
        this.print(report);
      },
    );
  }
}

export class JobsExplainCommand extends SingleJobCommand {
  static override paths = [['jobs', 'explain']];
  static override usage = Command.Usage({
    category: 'Jobs',
    description:
      'Explain why a job is waiting, where it runs or why it was moved',
  });

  override async execute(): Promise<number> {
    return this.reportResult(await this.client().job(this.jobId), (report) => {
      const {record, explanation} = report;
      const summary =
        explanation?.summary ?? `${record.state}: ${record.reason}`;
      this.writeLine(summary);
      for (const holder of explanation?.heldBy ?? []) {
        this.writeLine(`  held by: ${holder}`);
      }
      for (const event of explanation?.freedBy ?? []) {
        this.writeLine(`  freed by: ${event}`);
      }
    });
  }
}

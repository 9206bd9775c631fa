/**
 * Explains where a job, or a submission that is not sent, would go now on a
 * hosted site.
 */

import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {Result} from 'true-myth';
import * as t from 'typanion';
import type {JobRequest} from '../entry/calls.js';
import type {SubmissionQuery} from '../entry/explanations.js';
import type {Explanation} from '../leader/planning/explanation.js';
import type {CustomerId, QueueId} from '../model/ids.js';
import {OperatorCommand} from './command.js';
import {describeExplanation} from './explanation_text.js';
import {EXIT_REFUSED, OperatorCallError} from './operator_client.js';

const NUMBER = {validator: t.cascade(t.isNumber(), t.isAtLeast(0))};
const COUNT = {
  validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]),
};

export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    category: 'Hosted site',
    description:
      'Explain where a job would go now, and why, without sending it',
    details: `
      Names a job that was accepted, or describes a submission: by --file with
      the body of a call, or by flags for one step. The submission's queue is
      named by --queue or by --host and --path, its customer by --customer or
      --key. Nothing is sent to workers, and nothing is recorded.
    `,
    examples: [
      ['A job that waits', 'bramleystep explain 00000000000000a1'],
      [
        'A gang of four tasks',
        'bramleystep explain --queue train --customer owner --tasks 4 --gang',
      ],
    ],
  });

  jobId = Option.String({required: false});
  file = Option.String('--file', {description: 'JSON body of a submission'});
  queue = Option.String('--queue', {description: 'Name of the queue'});
  host = Option.String('--host', {description: 'Host of the call'});
  callPath = Option.String('--path', {description: 'Path of the call'});
  customer = Option.String('--customer', {description: 'Name of the customer'});
  key = Option.String('--key', {description: "The customer's key"});
  tasks = Option.String('--tasks', '1', {...COUNT, description: 'Tasks'});
  accelerators = Option.String('--accelerators', '0', {
    ...NUMBER,
    description: 'Accelerators of a task',
  });
  millicores = Option.String('--millicores', '0', {
    ...NUMBER,
    description: 'Thousandths of a core of a task',
  });
  memory = Option.String('--memory-mb', '0', {
    ...NUMBER,
    description: 'Megabytes of memory of a task',
  });
  estimate = Option.String('--estimate-ms', '0', {
    ...NUMBER,
    description: 'Estimated run time of a task',
  });
  gang = Option.Boolean('--gang', false, {
    description: 'The tasks run all at once',
  });
  sameRack = Option.Boolean('--same-rack', false, {
    description: 'The tasks are slower in several racks',
  });
  label = Option.String('--label', {description: 'Label of the worker'});

  override async execute(): Promise<number> {
    return this.reportResult(await this.explain(), (explanation) => {
      for (const line of describeExplanation(explanation)) this.writeLine(line);
    });
  }

  private async explain(): Promise<Result<Explanation, OperatorCallError>> {
    const {jobId, queue, callPath, customer} = this;
    if (jobId !== undefined) {
      return queue === undefined && callPath === undefined && !this.file
        ? this.client().explainJob(jobId)
        : usageError('give either the id of a job or a submission');
    }
    if (queue === undefined && callPath === undefined) {
      return usageError(
        'give the id of a job, or --queue (or --host and --path) for a submission',
      );
    }
    const body = await this.readBody();
    if (body.isErr) return Result.err(body.error);
    return this.client().explainSubmission({
      queueId: queue as QueueId | undefined,
      host: this.host,
      path: callPath,
      customerId: customer as CustomerId | undefined,
      key: this.key,
      ...body.value,
    });
  }

  private async readBody(): Promise<
    Result<Pick<SubmissionQuery, 'body' | 'request'>, OperatorCallError>
  > {
    if (this.file === undefined) {
      return Result.ok({request: this.request()});
    }
    try {
      const text = await readFile(this.file, 'utf8');
      return Result.ok({body: JSON.parse(text) as unknown});
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return usageError(
        `cannot read the submission in ${this.file} (${detail}); ` +
          'give a file with the JSON body of a submission',
      );
    }
  }

  private request(): JobRequest {
    return {
      specification: '',
      steps: [
        {
          taskCount: this.tasks,
          shape: {
            processorMillicores: this.millicores,
            memoryMegabytes: this.memory,
            accelerators: this.accelerators,
          },
          estimatedMs: this.estimate,
          after: [],
          gang: this.gang,
          sameRack: this.sameRack,
          ...(this.label === undefined ? {} : {requiredLabel: this.label}),
        },
      ],
      occurrences: 0,
      firstDueAt: 0,
      intervalMs: 0,
    };
  }
}

function usageError<T>(message: string): Result<T, OperatorCallError> {
  return Result.err(new OperatorCallError(message, EXIT_REFUSED));
}

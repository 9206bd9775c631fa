/**
 * Explains where a service request would go now, without sending it.
 */

import {Command, Option} from 'clipanion';
import type {
  ConsideredMinion,
  RequestExplanation,
} from '../requests/request_explanation.js';
import type {MinionRule} from '../requests/routing.js';
import {OperatorCommand} from './command.js';
import {writeTable} from './output.js';

const RULES: Readonly<Record<MinionRule, string>> = {
  notLive: 'leaving or gone',
  suspect: 'may have failed, or their home daemon may',
  queueClosed: 'with a closed queue',
  paused: 'paused after a refusal',
  probation: 'on probation after a failure, with a small share of the requests',
  full: 'at their queue limit',
  otherZone: 'in zones that are only considered later',
};

const CHECKS: Readonly<
  Record<NonNullable<RequestExplanation['refused']>['check'], string>
> = {
  stopping: 'as the daemon stops',
  customerLimit: "by the customer's limits",
  route: 'by the router',
};

export class RequestsExplainCommand extends OperatorCommand {
  static override paths = [['requests', 'explain']];
  static override usage = Command.Usage({
    category: 'Operation',
    description:
      'Explain where a request would go now from the daemon, and why, ' +
      'without sending it',
    examples: [
      [
        'A request of one class',
        '$0 requests explain --customer club --class check',
      ],
    ],
  });

  customer = Option.String('--customer', {
    required: true,
    description: 'Name of the customer',
  });
  workClass = Option.String('--class', {
    required: true,
    description: "Name of the customer's class of requests",
  });

  override async execute(): Promise<number> {
    return this.reportResult(
      await this.client().explainRequest(this.customer, this.workClass),
      (explanation) => {
        this.print(explanation);
      },
    );
  }

  private print(explanation: RequestExplanation): void {
    const {refused, limits, inUse, considered, consideredCount} = explanation;
    const {customerId, workClassId, daemonId, availabilityZone} = explanation;
    this.writeLine(
      `request of ${customerId}, class ${workClassId}, at ${daemonId} ` +
        `in ${availabilityZone}`,
    );
    this.writeLine(
      refused
        ? `  refused ${CHECKS[refused.check]}: ${refused.reason}, ${refused.message}`
        : '  admitted',
    );
    this.writeLine(
      `  in use   ${inUse.inProgress} of ${limits.concurrency} in progress; ` +
        `${Math.floor(inUse.tokens)} of ${limits.burst} at once, ` +
        `${limits.requestsPerSecond} a second`,
    );
    if (explanation.claimNotAsked) {
      this.writeLine('  not asked: the claim in the store, if it has a key');
    }
    const more = consideredCount - considered.length;
    this.writeLine(`  minions considered: ${consideredCount}`);
    if (considered.length > 0) this.printMinions(considered);
    if (more > 0) this.writeLine(`  and ${more} more`);
    for (const {rule, count} of explanation.ruledOut) {
      this.writeLine(`  ruled out: ${count} ${RULES[rule]}`);
    }
  }

  private printMinions(minions: readonly ConsideredMinion[]): void {
    writeTable(
      this.context.stdout,
      ['MINION', 'ZONE', 'HOME', 'SLOTS', 'LENGTH', 'SHARE', 'QUEUE'],
      minions.map((minion) => [
        minion.minionId,
        minion.availabilityZone,
        minion.homeDaemonId,
        String(minion.slots),
        minion.estimatedLength.toFixed(1),
        `${(minion.share * 100).toFixed(1)}%`,
        describeQueue(minion.queue),
      ]),
    );
  }
}

function describeQueue(queue: ConsideredMinion['queue']): string {
  switch (queue.kind) {
    case 'notAsked':
      return 'not asked: of another daemon';
    case 'refuses':
      return `refuses: ${queue.refusal.reason}, ${queue.refusal.message}`;
    case 'accepts': {
      const wait = `${queue.ahead} ahead, ${Math.round(queue.expectedWaitMs)} ms`;
      return queue.displaced === undefined
        ? wait
        : `${wait}, in place of a request of ${queue.displaced}`;
    }
  }
}

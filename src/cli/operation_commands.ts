/**
 * Commands for daemon operation: status, drain and audit.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {Command, Option} from 'clipanion';
import type {Audit, Status} from '../daemon/operator_messages.js';
import {EXIT_SUCCESS, OperatorCommand} from './command.js';
import {formatTime, writeTable} from './output.js';

const WATCH_INTERVAL_MS = 2_000;
const CLEAR_SCREEN = '\u001b[2J\u001b[H';

export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: "Show one daemon's view of the site",
    examples: [['Refresh every two seconds', '$0 status --watch']],
  });

  watch = Option.Boolean('--watch', false, {
    description: 'Refresh until interrupted',
  });

  override async execute(): Promise<number> {
    let exitCode = await this.show();
    while (this.watch && exitCode === EXIT_SUCCESS) {
      await sleep(WATCH_INTERVAL_MS);
      if (!this.json) this.context.stdout.write(CLEAR_SCREEN);
      exitCode = await this.show();
    }
    return exitCode;
  }

  private async show(): Promise<number> {
    return this.reportResult(await this.client().status(), (status) => {
      this.print(status);
    });
  }

  private print(status: Status): void {
    const leaving = status.leaving ? ', leaving' : '';
    const store = status.storeReachable ? 'reachable' : 'not reachable';
    this.writeLine(`${status.vmId} in ${status.availabilityZone}${leaving}`);
    this.writeLine(`configuration version ${status.configurationVersion}`);
    this.writeLine(`store ${store}, power from the ${status.power.supply}`);
    writeTable(
      this.context.stdout,
      ['ZONE', 'SCHEDULER', 'DAEMONS', 'WORKERS', 'MINIONS'],
      status.zones.map((zone) => [
        zone.availabilityZone,
        zone.scheduler ?? '-',
        String(zone.liveDaemons),
        String(zone.workers),
        String(zone.minions),
      ]),
    );
    writeTable(
      this.context.stdout,
      ['PEER', 'ZONE', 'VERSION', 'STATE', 'HEARD'],
      status.peers.map((peer) => [
        peer.vmId,
        peer.availabilityZone,
        String(peer.configurationVersion),
        peer.leaving ? 'leaving' : 'live',
        `${Math.round(peer.heardMsAgo)} ms ago`,
      ]),
    );
    if (status.quarantinedWorkers.length > 0) {
      this.writeLine(`quarantined: ${status.quarantinedWorkers.join(', ')}`);
    }
  }
}

export class DrainCommand extends OperatorCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Stop the daemon gracefully, without interrupting requests',
  });

  override async execute(): Promise<number> {
    return this.reportResult(await this.client().drain(), (status) => {
      this.writeLine(`${status.vmId} is leaving`);
    });
  }
}

export class AuditCommand extends OperatorCommand {
  static override paths = [['audit']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'List operator changes and scheduler decisions',
  });

  override async execute(): Promise<number> {
    return this.reportResult(await this.client().audit(), (audit) => {
      this.print(audit);
    });
  }

  private print(audit: Audit): void {
    writeTable(
      this.context.stdout,
      ['TIME', 'BY', 'VERSION', 'ACTION'],
      audit.entries.map((entry) => [
        formatTime(entry.at),
        entry.author,
        entry.version === undefined ? '-' : String(entry.version),
        entry.action,
      ]),
    );
    if (audit.lostEntries > 0) {
      this.writeLine(
        `${audit.lostEntries} decisions were not recorded because the store ` +
          'was not reachable',
      );
    }
  }
}

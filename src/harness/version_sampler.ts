/**
 * Samples the configuration version of all running daemons at short intervals,
 * to detect a daemon whose version decreases.
 */

import {OperatorClient} from '../cli/operator_client.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SiteFixture} from './site_fixture.js';

const SAMPLE_INTERVAL_MS = 40;

export class VersionSampler {
  /** One message per decrease of a daemon's version. */
  readonly violations: string[] = [];
  /** Highest version seen of each daemon process, by daemon id. */
  private readonly highestVersions = new Map<string, number>();
  /**
   * Operator addresses with a call in progress. They are skipped until it ends,
   * since a frozen daemon answers late.
   */
  private readonly pendingAddresses = new Set<string>();

  constructor(
    private readonly site: SiteFixture,
    scope: CleanupScope,
  ) {
    scope.every(SAMPLE_INTERVAL_MS, () => this.sampleAll());
  }

  private sampleAll(): void {
    for (const {process, operators} of this.site.daemons) {
      if (process.isRunning && !this.pendingAddresses.has(operators)) {
        void this.sample(operators);
      }
    }
  }

  private async sample(operators: string): Promise<void> {
    this.pendingAddresses.add(operators);
    const status = await new OperatorClient(operators).status();
    this.pendingAddresses.delete(operators);
    if (status.isErr) return;
    const {daemonId, vmId, configurationVersion} = status.value;
    const highest = this.highestVersions.get(daemonId) ?? 0;
    if (configurationVersion < highest) {
      this.violations.push(
        `${vmId} went back from version ${highest} to ${configurationVersion}`,
      );
    }
    this.highestVersions.set(daemonId, Math.max(highest, configurationVersion));
  }
}

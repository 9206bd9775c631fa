/**
 * Samples the configuration version of all daemons, all along, to find one
 * that falls.
 */

import {OperatorClient} from '../cli/operator_client.js';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SiteFixture} from './site_fixture.js';

const SAMPLE_INTERVAL_MS = 40;

export class VersionSampler {
  /** One sentence per version that fell. */
  readonly violations: string[] = [];
  /** Newest version of each daemon process, by its daemon id. */
  private readonly highest = new Map<string, number>();
  /** Operators' addresses that are being asked; a frozen one takes long. */
  private readonly asked = new Set<string>();

  constructor(
    private readonly site: SiteFixture,
    scope: CleanupScope,
  ) {
    scope.every(SAMPLE_INTERVAL_MS, () => this.sampleAll());
  }

  private sampleAll(): void {
    for (const {process, operators} of this.site.daemons) {
      if (process.isRunning && !this.asked.has(operators)) {
        void this.sample(operators);
      }
    }
  }

  private async sample(operators: string): Promise<void> {
    this.asked.add(operators);
    const status = await new OperatorClient(operators).status();
    this.asked.delete(operators);
    if (status.isErr) return;
    const {daemonId, vmId, configurationVersion} = status.value;
    const before = this.highest.get(daemonId) ?? 0;
    if (configurationVersion < before) {
      this.violations.push(
        `${vmId} fell from version ${before} to ${configurationVersion}`,
      );
    }
    this.highest.set(daemonId, Math.max(before, configurationVersion));
  }
}

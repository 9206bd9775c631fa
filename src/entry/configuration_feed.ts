/**
 * Follows the operators' configuration. Keeps the newest version received and
 * the time since the source last confirmed it.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../lifecycle/clock.js';
import type {PauseDetector} from '../lifecycle/pause_detector.js';
import type {ComponentLog} from '../daemon/log.js';
import {PrefixFollower} from '../leader/prefix_follower.js';
import type {HostedConfiguration} from '../model/queues.js';
import type {ConfigurationSource} from '../interfaces/configuration_source.js';

export class ConfigurationFeed {
  private newest: HostedConfiguration | undefined;
  private readonly follower: PrefixFollower<
    HostedConfiguration | undefined,
    HostedConfiguration
  >;
  private readonly listeners: Array<() => void> = [];

  constructor(
    source: ConfigurationSource,
    scope: CleanupScope,
    private readonly log: ComponentLog,
    pauses?: PauseDetector,
  ) {
    this.follower = new PrefixFollower(
      {
        list: async () =>
          (await source.list()).map(({configuration, revision}) => ({
            state: configuration,
            revision,
          })),
        watch: (revision, waitMs, signal) =>
          source.watch(revision, waitMs, signal),
      },
      scope,
      (reason) => log.warn(`cannot follow the configuration: ${reason}`),
      {pauses},
    );
  }

  async start(): Promise<void> {
    await this.follower.start(
      (configuration) => this.apply(configuration),
      (changes) => changes.forEach((change) => this.apply(change)),
    );
  }

  get configuration(): HostedConfiguration | undefined {
    return this.newest;
  }

  ageMs(now: SteadyTime): number {
    return this.follower.ageMs(now);
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Ignores versions that are not newer than the current one. */
  private apply(configuration: HostedConfiguration | undefined): void {
    if (configuration === undefined) return;
    const {version} = configuration;
    if (this.newest !== undefined && version <= this.newest.version) return;
    this.newest = configuration;
    this.log.info(`version ${version} is in force`, {version});
    for (const listener of this.listeners) listener();
  }
}

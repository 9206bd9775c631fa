/**
 * The site as seen by the request path and the job router, based on the
 * controllers of this daemon.
 */

import {Result} from 'true-myth';
import type {ConfigurationController} from '../controllers/configuration_controller.js';
import {JobHolder, JobHolders} from '../controllers/job_router.js';
import type {
  Member,
  MembershipController,
} from '../controllers/membership_controller.js';
import type {VmController} from '../controllers/vm_controller.js';
import type {Clock} from '../lifecycle/clock.js';
import type {Configuration} from '../model/configuration.js';
import type {CallError} from '../model/errors.js';
import {after} from '../model/ids.js';
import type {AvailabilityZone, DaemonId, JobId, VmId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {
  JobReport,
  PeerClient,
  PeerHandler,
} from '../interfaces/peer_client.js';
import type {MinionVm} from '../interfaces/vm_list.js';
import {RequestDirectory} from '../requests/directory.js';
import type {HomeDaemon, MinionCandidate} from '../requests/directory.js';
import {rendezvousOwner} from '../scheduling/rendezvous.js';

export interface SiteDirectoryDependencies {
  readonly daemonId: DaemonId;
  readonly availabilityZone: AvailabilityZone;
  readonly configuration: ConfigurationController;
  readonly membership: MembershipController;
  readonly vms: VmController;
  readonly clock: Clock;
}

/** Minions and their home daemons for the request path. */
export class SiteRequestDirectory extends RequestDirectory {
  override readonly daemonId: DaemonId;
  override readonly availabilityZone: AvailabilityZone;

  constructor(private readonly dependencies: SiteDirectoryDependencies) {
    super();
    this.daemonId = dependencies.daemonId;
    this.availabilityZone = dependencies.availabilityZone;
  }

  override configuration(): Configuration {
    return this.dependencies.configuration.current;
  }

  override candidates(zone: AvailabilityZone): readonly MinionCandidate[] {
    const {membership, vms} = this.dependencies;
    // Excludes daemons known only from the VM list: without a daemon id, a
    // daemon cannot be distinguished from its previous process, and a late
    // dispatch could run twice.
    const identified = membership.owners(zone).filter(hasDaemonId);
    return vms.minions(zone).flatMap((minion) => {
      const home = this.homeDaemonOf(minion, zone, identified);
      if (home === undefined) return [];
      const reported = this.reportedQueueLength(zone, minion.vmId);
      return [{minion, home, suspect: false, ...(reported ? {reported} : {})}];
    });
  }

  override otherZones(): readonly AvailabilityZone[] {
    const zones = this.configuration().site?.availabilityZones ?? [];
    return zones.filter((zone) => zone !== this.availabilityZone);
  }

  override minion(minionId: VmId): MinionVm | undefined {
    const vm = this.dependencies.vms.vm(minionId);
    return vm?.role === 'minion' ? vm : undefined;
  }

  override daemonAddress(daemonId: DaemonId): string | undefined {
    const peers = this.dependencies.membership.livePeers();
    return peers.find((peer) => peer.daemonId === daemonId)?.address;
  }

  private homeDaemonOf(
    minion: MinionVm,
    zone: AvailabilityZone,
    identified: ReadonlyArray<Member & HomeDaemon>,
  ): HomeDaemon | undefined {
    const owner = this.dependencies.membership.homeDaemonOf(zone, minion.vmId);
    if (owner !== undefined && hasDaemonId(owner)) return owner;
    return rendezvousOwner(
      `minion/${minion.vmId}`,
      identified,
      ({vmId}) => vmId,
    );
  }

  private reportedQueueLength(
    zone: AvailabilityZone,
    minionId: VmId,
  ): MinionCandidate['reported'] {
    const length = this.dependencies.membership.queueLength(zone, minionId);
    if (length === undefined) return undefined;
    const at = after(this.dependencies.clock.now(), -length.ageMs);
    return {queued: length.queued, at};
  }
}

function hasDaemonId(member: Member): member is Member & HomeDaemon {
  return member.daemonId !== undefined;
}

/** Forwards job calls to a peer. */
class PeerJobHolder extends JobHolder {
  constructor(
    private readonly peers: PeerClient,
    private readonly address: string,
  ) {
    super();
  }

  override submitJob(record: JobRecord): Promise<Result<void, CallError>> {
    return this.peers.submitJob(this.address, record);
  }

  override job(jobId: JobId): Promise<Result<JobReport, CallError>> {
    return this.peers.job(this.address, jobId);
  }

  override cancelJob(jobId: JobId): Promise<Result<JobReport, CallError>> {
    return this.peers.cancelJob(this.address, jobId);
  }

  override jobs(): Promise<Result<readonly JobReport[], CallError>> {
    return this.peers.jobs(this.address);
  }
}

/** Finds the daemons that accept the jobs of a zone. */
export class SiteJobHolders extends JobHolders {
  constructor(
    private readonly membership: () => MembershipController,
    private readonly peers: PeerClient,
    /** Used if this daemon is the one that accepts the jobs. */
    private readonly local: JobHolder,
  ) {
    super();
  }

  override scheduler(zone: AvailabilityZone): JobHolder | undefined {
    const member = this.membership().schedulerOf(zone);
    return member && this.holderAt(member);
  }

  override others(zone: AvailabilityZone): readonly JobHolder[] {
    const membership = this.membership();
    const scheduler = membership.schedulerOf(zone);
    return membership
      .owners(zone)
      .filter((member) => member.vmId !== scheduler?.vmId)
      .map((member) => this.holderAt(member));
  }

  private holderAt(member: Member): JobHolder {
    if (member.self) return this.local;
    return new PeerJobHolder(this.peers, member.address);
  }
}

/** Passes job calls to the handler for peers in this process. */
export class LocalJobHolder extends JobHolder {
  constructor(
    private readonly handler: Pick<
      PeerHandler,
      'submitJob' | 'job' | 'cancelJob' | 'jobs'
    >,
  ) {
    super();
  }

  override submitJob(record: JobRecord): Promise<Result<void, CallError>> {
    return this.handler.submitJob(record);
  }

  override job(jobId: JobId): Promise<Result<JobReport, CallError>> {
    return this.handler.job(jobId);
  }

  override cancelJob(jobId: JobId): Promise<Result<JobReport, CallError>> {
    return this.handler.cancelJob(jobId);
  }

  override async jobs(): Promise<Result<readonly JobReport[], CallError>> {
    return Result.ok(this.handler.jobs());
  }
}

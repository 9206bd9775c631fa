/**
 * Handles the calls of peers with the controllers of this daemon.
 */

import {Result} from 'true-myth';
import type {ConfigurationController} from '../controllers/configuration_controller.js';
import type {JobBuffer} from '../controllers/job_buffer.js';
import type {MembershipController} from '../controllers/membership_controller.js';
import type {ZoneController} from '../controllers/zone_controller.js';
import {RefusedError} from '../model/errors.js';
import type {CallError} from '../model/errors.js';
import type {AvailabilityZone, JobId, RequestId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {Outcome} from '../model/requests.js';
import {PeerHandler} from '../interfaces/peer_client.js';
import type {
  ConfigurationUpdate,
  Dispatch,
  Heartbeat,
  JobReport,
} from '../interfaces/peer_client.js';
import type {RequestService} from '../requests/request_service.js';

export interface PeerServiceDependencies {
  readonly availabilityZone: AvailabilityZone;
  readonly membership: () => MembershipController;
  readonly configuration: ConfigurationController;
  readonly zone: () => ZoneController;
  readonly jobBuffer: () => JobBuffer;
  readonly requests: () => RequestService;
}

export class PeerService extends PeerHandler {
  constructor(private readonly dependencies: PeerServiceDependencies) {
    super();
  }

  override heartbeat(heartbeat: Heartbeat): Heartbeat {
    return this.dependencies.membership().receiveHeartbeat(heartbeat);
  }

  override configurationSince(version: number): ConfigurationUpdate {
    return this.dependencies.configuration.configurationSince(version);
  }

  override dispatch(dispatch: Dispatch): Promise<Outcome> {
    return this.dependencies.requests().dispatch(dispatch);
  }

  /**
   * Submits the job to the scheduler if that is this daemon; otherwise holds the
   * job in memory for the scheduler of its zone.
   */
  override async submitJob(
    record: JobRecord,
  ): Promise<Result<void, CallError>> {
    const own = this.dependencies.availabilityZone;
    if (record.availabilityZone !== own) {
      return Result.err(
        new RefusedError(
          `job ${record.jobId} belongs to zone ${record.availabilityZone}`,
          `send it to a daemon of that zone; this one serves ${own}`,
        ),
      );
    }
    const zone = this.dependencies.zone();
    if (zone.active) return zone.submitJob(record);
    if (this.dependencies.jobBuffer().add(record)) return Result.ok(undefined);
    return Result.err(
      new RefusedError(
        'this daemon already holds its maximum number of jobs in memory',
        'submit the job again when the store is back',
      ),
    );
  }

  override async cancelJob(
    jobId: JobId,
  ): Promise<Result<JobReport, CallError>> {
    return this.dependencies.zone().cancelJob(jobId);
  }

  override async job(jobId: JobId): Promise<Result<JobReport, CallError>> {
    return this.dependencies.zone().job(jobId);
  }

  override jobs(): readonly JobReport[] {
    return this.dependencies.zone().jobs();
  }

  override async claimOutcome(requestId: RequestId): Promise<Outcome> {
    return this.dependencies.requests().claimOutcome(requestId);
  }
}

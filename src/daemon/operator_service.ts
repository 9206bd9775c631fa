/**
 * Implements the operations for operators on one daemon's controllers.
 */

import {Result} from 'true-myth';
import type {
  ConfigurationChange,
  ConfigurationEdit,
} from '../model/configuration.js';
import type {SystemError} from '../model/errors.js';
import type {AvailabilityZone, JobId} from '../model/ids.js';
import type {Configuration} from '../model/configuration.js';
import {
  parseQuestionnaire,
  questionnaireToEdit,
} from '../model/questionnaire.js';
import type {JobReport} from '../interfaces/peer_client.js';
import type {
  RequestExplanation,
  RequestQuery,
} from '../requests/request_explanation.js';
import type {Daemon} from './daemon.js';
import {OperatorService} from './operator_api.js';
import type {
  Audit,
  AuditEntry,
  EditResult,
  History,
  JobList,
  PowerSubmission,
  QuestionnaireSubmission,
  Status,
} from './operator_messages.js';

/** Limits the store reads; each segment of eight changes takes one read. */
const MAXIMUM_CHANGES_SHOWN = 512;

type Answer<T> = Promise<Result<T, SystemError>>;

export class DaemonOperatorService extends OperatorService {
  constructor(private readonly daemon: Daemon) {
    super();
  }

  override status(): Status {
    const {daemon} = this;
    const {vmId, availabilityZone} = daemon.settings;
    return {
      daemonId: daemon.daemonId,
      vmId,
      availabilityZone,
      startedAt: daemon.startedAt,
      leaving: daemon.membership.leaving,
      configurationVersion: daemon.configuration.version,
      power: daemon.configuration.current.power,
      storeReachable: daemon.storeReachable,
      zones: this.zones().map((zone) => this.zoneStatus(zone)),
      peers: this.peerStatus(),
      quarantinedWorkers: [...daemon.zone.quarantined()],
    };
  }

  override configuration(): Configuration {
    return this.daemon.configuration.current;
  }

  override async history(): Answer<History> {
    const history = await this.daemon.auditReader.latestConfigurationChanges(
      MAXIMUM_CHANGES_SHOWN,
    );
    return history.map(({changes}) => ({changes: [...changes]}));
  }

  override async submitQuestionnaire(
    submission: QuestionnaireSubmission,
  ): Answer<EditResult> {
    const parsed = parseQuestionnaire(submission.questionnaire);
    const edit = parsed.andThen((value) => questionnaireToEdit(value));
    if (edit.isErr) return Result.err(edit.error);
    const {version} = this.daemon.configuration;
    if (submission.checkOnly) return Result.ok({version, edit: edit.value});
    return this.propose(submission, edit.value, submission.baseVersion);
  }

  override async setPower(submission: PowerSubmission): Answer<EditResult> {
    const {power} = submission;
    return this.propose(submission, {kind: 'set-power', power}, undefined);
  }

  override explainRequest(
    query: RequestQuery,
  ): Result<RequestExplanation, SystemError> {
    return this.daemon.requests.explain(query);
  }

  override async jobs(): Promise<JobList> {
    return {jobs: await this.daemon.jobs.list(this.zones())};
  }

  override job(jobId: JobId): Answer<JobReport> {
    return this.daemon.jobs.read(jobId);
  }

  override cancelJob(jobId: JobId): Answer<JobReport> {
    return this.daemon.jobs.cancel(jobId);
  }

  override async audit(): Answer<Audit> {
    const changes = await this.daemon.auditReader.latestConfigurationChanges(
      MAXIMUM_CHANGES_SHOWN,
    );
    if (changes.isErr) return Result.err(changes.error);
    const entries = changes.value.changes.map(changeEntry);
    let lostEntries = changes.value.missingVersions.length;
    for (const zone of this.zones()) {
      const decisions = await this.daemon.auditReader.decisions(zone);
      if (decisions.isErr) return Result.err(decisions.error);
      for (const batch of decisions.value.batches) {
        lostEntries += batch.notKept;
        for (const {at, detail} of batch.decisions) {
          entries.push({at, author: `scheduler of ${zone}`, action: detail});
        }
      }
    }
    entries.sort((a, b) => a.at - b.at);
    return Result.ok({entries, lostEntries});
  }

  override drain(): Status {
    void this.daemon.stop();
    return this.status();
  }

  private async propose(
    submission: Pick<QuestionnaireSubmission, 'changeId' | 'author'>,
    edit: ConfigurationEdit,
    baseVersion: number | undefined,
  ): Answer<EditResult> {
    const {configuration} = this.daemon;
    const accepted = await configuration.propose({
      id: submission.changeId,
      author: submission.author,
      baseVersion: baseVersion ?? configuration.version,
      edit,
    });
    return accepted.map((change) => ({
      version: change.version,
      edit: change.edit,
    }));
  }

  private zones(): readonly AvailabilityZone[] {
    const {configuration, settings} = this.daemon;
    const {site} = configuration.current;
    return site?.availabilityZones ?? [settings.availabilityZone];
  }

  private zoneStatus(zone: AvailabilityZone): Status['zones'][number] {
    const {membership, vms} = this.daemon;
    const scheduler = membership.schedulerOf(zone)?.vmId;
    return {
      availabilityZone: zone,
      ...(scheduler === undefined ? {} : {scheduler}),
      liveDaemons: membership.owners(zone).length,
      workers: vms.workers(zone).length,
      minions: vms.minions(zone).length,
    };
  }

  private peerStatus(): Status['peers'] {
    const now = this.daemon.clock.now();
    return this.daemon.membership.livePeers().map((peer) => ({
      daemonId: peer.daemonId,
      vmId: peer.vmId,
      availabilityZone: peer.availabilityZone,
      address: peer.address,
      leaving: peer.leaving,
      configurationVersion: peer.configurationVersion,
      heardMsAgo: Math.max(0, now - peer.heardAt),
    }));
  }
}

function changeEntry(change: ConfigurationChange): AuditEntry {
  return {
    at: change.acceptedAt,
    author: change.author,
    action: `changed the configuration: ${change.edit.kind}`,
    version: change.version,
  };
}

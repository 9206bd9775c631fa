/**
 * Reports the decisions of the zone scheduler to the log, the metrics and the
 * audit trail.
 */

import type {DecisionLog} from '../controllers/audit_trail.js';
import type {ZoneEvent, ZoneListener} from '../controllers/zone_options.js';
import type {ComponentLog} from './log.js';
import type {DaemonMetrics} from './metrics.js';

export class ZoneReporter implements ZoneListener {
  constructor(
    private readonly log: ComponentLog,
    private readonly metrics: DaemonMetrics,
    private readonly decisions: DecisionLog,
  ) {}

  zoneEvent(event: ZoneEvent): void {
    this.metrics.countZoneEvent(event.kind);
    const description = describeEvent(event);
    this.log.info(description, {
      ...('jobId' in event ? {jobId: event.jobId} : {}),
      ...('gangId' in event ? {gangId: event.gangId} : {}),
      ...('workerId' in event ? {workerId: event.workerId} : {}),
    });
    if (isDecision(event)) {
      this.decisions.record(event.kind, subjectOf(event), description);
    }
  }
}

/** Changes of a job's state are in its record, not in the audit trail. */
function isDecision(event: ZoneEvent): boolean {
  switch (event.kind) {
    case 'scheduling':
    case 'adopted':
    case 'preempted':
    case 'workerLost':
    case 'workerReturned':
    case 'quarantined':
    case 'quarantineEnded':
      return true;
    default:
      return false;
  }
}

function subjectOf(event: ZoneEvent): string {
  if ('jobId' in event) return event.jobId;
  if ('workerId' in event) return event.workerId;
  return 'zone';
}

function describeEvent(event: ZoneEvent): string {
  switch (event.kind) {
    case 'scheduling':
      return event.active
        ? 'this daemon schedules the zone'
        : 'this daemon no longer schedules the zone';
    case 'placing':
      return (
        `placing jobs after reading ${event.workersRead} workers, ` +
        `${event.workersUnread} not read`
      );
    case 'adopted':
      return event.decision === 'takenOff'
        ? `taking an incomplete gang of job ${event.jobId} off its workers`
        : `adopted the gang of job ${event.jobId}`;
    case 'preempted':
      return `preempting job ${event.jobId}: ${event.reason}`;
    case 'jobChanged':
      return `job ${event.jobId} is ${event.state}: ${event.reason}`;
    case 'gangEnded':
      return `the gang of job ${event.jobId} ended: ${event.end.kind}`;
    case 'workerLost':
      return `worker ${event.workerId} is lost: ${event.cause}`;
    case 'workerReturned':
      return `worker ${event.workerId} is back`;
    case 'quarantined':
      return `worker ${event.workerId} is quarantined: its tasks fail at once`;
    case 'quarantineEnded':
      return `worker ${event.workerId} is on probation`;
    case 'store':
      return event.available
        ? `the store is available again, ${event.unwritten} records are unwritten`
        : `the store is unavailable, ${event.unwritten} records are unwritten`;
  }
}

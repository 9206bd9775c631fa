/**
 * Logs as JSON lines. Each part of the daemon has a fixed prefix, so that a
 * search for `[zone]` finds everything that the zone controller said.
 */

import bunyan from 'bunyan';
import {LogSink} from './log_sink.js';

/** Parts of the daemon that write logs. */
export type LogComponent =
  | 'audit'
  | 'callers'
  | 'configuration'
  | 'daemon'
  | 'entry'
  | 'jobs'
  | 'leader'
  | 'membership'
  | 'operators'
  | 'peers'
  | 'requests'
  | 'store'
  | 'vms'
  | 'workers'
  | 'zone';

/** Ids that tie the lines of one request or job together across daemons. */
export interface LogFields {
  readonly requestId?: string;
  readonly jobId?: string;
  readonly gangId?: string;
  readonly customerId?: string;
  readonly workerId?: string;
  readonly minionId?: string;
  readonly peer?: string;
  readonly version?: number;
}

/** Writes short sentences with the prefix of one part. */
export class ComponentLog {
  constructor(
    private readonly logger: bunyan,
    private readonly component: LogComponent,
  ) {}

  debug(sentence: string, fields: LogFields = {}): void {
    this.logger.debug(fields, `[${this.component}] ${sentence}`);
  }

  info(sentence: string, fields: LogFields = {}): void {
    this.logger.info(fields, `[${this.component}] ${sentence}`);
  }

  warn(sentence: string, fields: LogFields = {}): void {
    this.logger.warn(fields, `[${this.component}] ${sentence}`);
  }

  error(sentence: string, fields: LogFields = {}): void {
    this.logger.error(fields, `[${this.component}] ${sentence}`);
  }
}

const STANDARD_OUTPUT = 1;
const STANDARD_ERROR = 2;

/** Creates the logs of one daemon, on standard error unless told otherwise. */
export class DaemonLog {
  private readonly logger: bunyan;

  constructor(
    vmId: string,
    level: bunyan.LogLevelString,
    target: 'output' | 'error' = 'error',
  ) {
    const descriptor = target === 'output' ? STANDARD_OUTPUT : STANDARD_ERROR;
    this.logger = bunyan.createLogger({
      name: 'bramleystepd',
      vmId,
      level,
      stream: new LogSink(descriptor) as unknown as NodeJS.WritableStream,
    });
  }

  component(part: LogComponent): ComponentLog {
    return new ComponentLog(this.logger, part);
  }
}

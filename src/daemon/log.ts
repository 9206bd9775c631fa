/**
 * Logs as JSON lines. The messages of each component have a fixed prefix, so
 * that a search for `[zone]` finds all messages of the zone controller.
 */

import bunyan from 'bunyan';
import {LogSink} from './log_sink.js';

/** Components that write log lines. */
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

/** Ids that correlate the lines of a request or job across daemons. */
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

/** Writes messages with the prefix of one component. */
export class ComponentLog {
  constructor(
    private readonly logger: bunyan,
    private readonly component: LogComponent,
  ) {}

  debug(message: string, fields: LogFields = {}): void {
    this.logger.debug(fields, `[${this.component}] ${message}`);
  }

  info(message: string, fields: LogFields = {}): void {
    this.logger.info(fields, `[${this.component}] ${message}`);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.logger.warn(fields, `[${this.component}] ${message}`);
  }

  error(message: string, fields: LogFields = {}): void {
    this.logger.error(fields, `[${this.component}] ${message}`);
  }
}

const STANDARD_OUTPUT = 1;
const STANDARD_ERROR = 2;

/** Creates the component logs of one daemon; writes JSON lines to `target`. */
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

  component(component: LogComponent): ComponentLog {
    return new ComponentLog(this.logger, component);
  }
}

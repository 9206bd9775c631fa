/**
 * Base class of the commands: shared options and error handling.
 */

import {Command, Option} from 'clipanion';
import type {Result} from 'true-myth';
import {OperatorClient} from './operator_client.js';
import type {OperatorCallError} from './operator_client.js';
import {writeJson} from './output.js';

const DEFAULT_ADDRESS = '127.0.0.1:7300';

export const EXIT_SUCCESS = 0;

export abstract class OperatorCommand extends Command {
  daemon = Option.String(
    '--daemon',
    process.env['BRAMLEYSTEP_DAEMON'] ?? DEFAULT_ADDRESS,
    {
      description:
        "Operators' address of a daemon; BRAMLEYSTEP_DAEMON sets the default",
    },
  );

  json = Option.Boolean('--json', false, {
    description: 'Print JSON for programs',
  });

  protected client(): OperatorClient {
    return new OperatorClient(this.daemon);
  }

  /**
   * Prints the value with `print`, or as JSON with `--json`; prints the error
   * of a failed call. Returns the exit code.
   */
  protected reportResult<T>(
    result: Result<T, OperatorCallError>,
    print: (value: T) => void,
  ): number {
    return result.match({
      Ok: (value) => {
        if (this.json) writeJson(this.context.stdout, value);
        else print(value);
        return EXIT_SUCCESS;
      },
      Err: (error) => {
        if (this.json) {
          writeJson(this.context.stdout, {error: error.message});
        } else {
          this.context.stderr.write(`bramleystep: ${error.message}\n`);
        }
        return error.exitCode;
      },
    });
  }

  protected writeLine(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }
}

/**
 * Commands that read and change the configuration.
 */

import {readFile} from 'node:fs/promises';
import {userInfo} from 'node:os';
import {Command, Option, UsageError} from 'clipanion';
import type {EditResult} from '../daemon/operator_messages.js';
import type {
  Configuration,
  ConfigurationChange,
  ConfigurationEdit,
  Guarantee,
} from '../model/configuration.js';
import {randomId} from '../model/ids.js';
import type {ChangeId} from '../model/ids.js';
import {OperatorCommand} from './command.js';
import {formatTime, writeTable} from './output.js';

abstract class QuestionnaireCommand extends OperatorCommand {
  file = Option.String();

  protected async submit(checkOnly: boolean, baseVersion?: number) {
    return this.client().submitQuestionnaire({
      changeId: randomId<ChangeId>('change'),
      author: userInfo().username,
      questionnaire: await readJsonFile(this.file),
      checkOnly,
      ...(baseVersion === undefined ? {} : {baseVersion}),
    });
  }
}

export class QuestionnaireCheckCommand extends QuestionnaireCommand {
  static override paths = [['questionnaire', 'check']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Check a filled-in questionnaire and change nothing',
    examples: [['Check a file', '$0 questionnaire check club.json']],
  });

  override async execute(): Promise<number> {
    return this.reportResult(await this.submit(true), (result) => {
      this.writeLine(`${this.file} is valid: ${describeEdit(result.edit)}`);
    });
  }
}

export class QuestionnaireApplyCommand extends QuestionnaireCommand {
  static override paths = [['questionnaire', 'apply']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Apply a filled-in questionnaire to the whole site',
    examples: [['Apply a file', '$0 questionnaire apply club.json']],
  });

  baseVersion = Option.String('--base-version', {
    description: 'Refuse if the same customer changed after this version',
  });

  override async execute(): Promise<number> {
    const base = parseVersion(this.baseVersion);
    const result = await this.submit(false, base);
    return this.reportResult(result, (applied: EditResult) => {
      const edit = describeEdit(applied.edit);
      this.writeLine(`version ${applied.version} is in force: ${edit}`);
    });
  }
}

export class ConfigurationShowCommand extends OperatorCommand {
  static override paths = [['configuration', 'show']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: "Show the daemon's current configuration",
  });

  override async execute(): Promise<number> {
    return this.reportResult(await this.client().configuration(), (value) => {
      this.print(value);
    });
  }

  private print(configuration: Configuration): void {
    const site = configuration.site?.name ?? 'no site';
    this.writeLine(`${site}, version ${configuration.version}`);
    writeTable(
      this.context.stdout,
      ['CUSTOMER', 'GUARANTEES', 'CEILING', 'WEIGHT', 'REQUESTS/S'],
      configuration.customers.map((customer) => [
        customer.id,
        customer.guarantees.map(describeGuarantee).join(', ') || '-',
        String(customer.acceleratorCeiling),
        String(customer.weight),
        String(customer.requestLimits.requestsPerSecond),
      ]),
    );
    writeTable(
      this.context.stdout,
      ['CUSTOMER', 'CLASS', 'KIND', 'DETAIL'],
      configuration.workClasses.map((workClass) => [
        workClass.customerId,
        workClass.id,
        workClass.kind,
        workClass.kind === 'job'
          ? `${workClass.shape.tasks} x ${workClass.shape.acceleratorsPerTask}, ${workClass.urgency}`
          : `${workClass.repeatable ? 'repeatable' : 'at most once'}, ${workClass.deadlineMs} ms`,
      ]),
    );
  }
}

export class ConfigurationHistoryCommand extends OperatorCommand {
  static override paths = [['configuration', 'history']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'List the accepted changes, oldest first',
  });

  override async execute(): Promise<number> {
    return this.reportResult(await this.client().history(), ({changes}) => {
      writeTable(
        this.context.stdout,
        ['VERSION', 'ACCEPTED', 'AUTHOR', 'BASE', 'CHANGE'],
        changes.map((change) => this.row(change)),
      );
    });
  }

  private row(change: ConfigurationChange): string[] {
    return [
      String(change.version),
      formatTime(change.acceptedAt),
      change.author,
      String(change.baseVersion),
      describeEdit(change.edit),
    ];
  }
}

export class PowerCommand extends OperatorCommand {
  static override paths = [['power']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Report the power supply: the grid, or the fuel left',
    examples: [
      ['The generator has 400 kWh left', '$0 power --fuel-kwh 400'],
      ['The grid is back', '$0 power --grid'],
    ],
  });

  grid = Option.Boolean('--grid', false, {description: 'The grid is back'});
  fuel = Option.String('--fuel-kwh', {
    description: 'Energy left in the fuel, in kilowatt hours',
  });

  override async execute(): Promise<number> {
    const result = await this.client().setPower({
      changeId: randomId<ChangeId>('change'),
      author: userInfo().username,
      power: this.power(),
    });
    return this.reportResult(result, (applied) => {
      const edit = describeEdit(applied.edit);
      this.writeLine(`version ${applied.version} is in force: ${edit}`);
    });
  }

  private power() {
    if (this.grid === (this.fuel !== undefined)) {
      throw new UsageError('give either --grid or --fuel-kwh');
    }
    if (this.fuel === undefined) return {supply: 'grid'} as const;
    const fuelKilowattHours = Number(this.fuel);
    if (!(fuelKilowattHours >= 0)) {
      throw new UsageError('--fuel-kwh takes a number of kilowatt hours');
    }
    const measuredAt =
      new Date().getTime() as ConfigurationChange['acceptedAt'];
    return {supply: 'generator', fuelKilowattHours, measuredAt} as const;
  }
}

/** Summarizes an edit in one phrase. */
export function describeEdit(edit: ConfigurationEdit): string {
  switch (edit.kind) {
    case 'set-site':
      return `site ${edit.site.name}`;
    case 'set-customer':
      return (
        `customer ${edit.customer.id} with ` +
        `${edit.customer.guarantees.length} guarantees and ` +
        `${edit.workClasses.length} work classes`
      );
    case 'remove-customer':
      return `customer ${edit.customerId} removed`;
    case 'set-power':
      return edit.power.supply === 'grid'
        ? 'power from the grid'
        : `power from the generator, ${edit.power.fuelKilowattHours} kWh left`;
  }
}

function describeGuarantee(guarantee: Guarantee): string {
  const {cells, cellSize, availabilityZone} = guarantee;
  return `${cells} x ${cellSize} in ${availabilityZone}`;
}

function parseVersion(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const version = Number(text);
  if (!Number.isInteger(version) || version < 0) {
    throw new UsageError('--base-version takes a whole number');
  }
  return version;
}

async function readJsonFile(path: string): Promise<unknown> {
  try {
    return JSON.parse(await readFile(path, 'utf8'));
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    throw new UsageError(`${path}: ${detail}; name a readable JSON file`);
  }
}

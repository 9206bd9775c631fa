/**
 * Questionnaires: the forms in which a customer and a site's operator describe
 * their needs, and pure functions that convert a form to a configuration edit.
 */

import {Result} from 'true-myth';
import {z} from 'zod';
import type {
  ConfigurationEdit,
  Guarantee,
  RequestLimits,
  WorkClass,
} from './configuration.js';
import {InvalidInputError} from './errors.js';
import {
  availabilityZoneSchema,
  customerIdSchema,
  workClassIdSchema,
} from './ids.js';
import type {CustomerId} from './ids.js';
import {
  ACCELERATORS_PER_RACK,
  ACCELERATORS_PER_WORKER,
  CELL_SIZES,
  cellSizeFor,
} from './shapes.js';
import type {CellSize} from './shapes.js';
import {validate, validateJson} from './validation.js';

const MAXIMUM_NAME_LENGTH = 200;
const MAXIMUM_ACCELERATORS = 1_000_000;
const MAXIMUM_WORK_CLASSES = 200;
const MAXIMUM_GUARANTEES = 100;
const MILLISECONDS_PER_SECOND = 1_000;
const MILLISECONDS_PER_MINUTE = 60_000;
/** Limit of concurrent requests of one customer per daemon. */
const MAXIMUM_CONCURRENCY = 10_000;

export const longJobAnswerSchema = z.strictObject({
  kind: z.literal('long job'),
  name: workClassIdSchema,
  /** Number of tasks; they all run at the same time or not at all. */
  tasks: z.int().min(1).max(ACCELERATORS_PER_RACK),
  acceleratorsPerTask: z.int().min(1).max(ACCELERATORS_PER_WORKER),
  usualRunTimeMinutes: z.number().positive(),
  when: z.enum(['urgent', 'can wait']),
});
/** A kind of work that runs on accelerators for minutes or hours. */
export type LongJobAnswer = z.infer<typeof longJobAnswerSchema>;

export const shortRequestAnswerSchema = z.strictObject({
  kind: z.literal('short request'),
  name: workClassIdSchema,
  mayBeRepeated: z.boolean(),
  /** A billed request is never repeated, regardless of `mayBeRepeated`. */
  billed: z.boolean(),
  callerWaitsSeconds: z.number().positive().max(3_600),
});
/** A kind of work that a minion performs while the caller waits. */
export type ShortRequestAnswer = z.infer<typeof shortRequestAnswerSchema>;

export const guaranteeAnswerSchema = z.strictObject({
  availabilityZone: availabilityZoneSchema,
  /** Accelerators in total, a multiple of `adjacentBlock`. */
  accelerators: z.int().min(1).max(MAXIMUM_ACCELERATORS),
  /** Number of accelerators that must be adjacent to each other. */
  adjacentBlock: z.int().min(1).max(ACCELERATORS_PER_RACK),
});
/** Capacity that the customer can reclaim at any time. */
export type GuaranteeAnswer = z.infer<typeof guaranteeAnswerSchema>;

export const customerQuestionnaireSchema = z.strictObject({
  kind: z.literal('customer'),
  id: customerIdSchema,
  name: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  guaranteed: z.array(guaranteeAnswerSchema).max(MAXIMUM_GUARANTEES),
  /** Maximum accelerators in use at the same time in all zones together. */
  mostAcceleratorsAtOnce: z.int().min(0).max(MAXIMUM_ACCELERATORS),
  /** Share of lent capacity relative to the other customers. */
  weight: z.number().positive().max(1_000).default(1),
  work: z
    .array(
      z.discriminatedUnion('kind', [
        longJobAnswerSchema,
        shortRequestAnswerSchema,
      ]),
    )
    .min(1)
    .max(MAXIMUM_WORK_CLASSES),
  /** Required if `work` contains a short request. */
  mostRequestsPerSecond: z.number().positive().max(1_000_000).optional(),
});
/** The form that a new customer fills in. */
export type CustomerQuestionnaire = z.infer<typeof customerQuestionnaireSchema>;

export const siteQuestionnaireSchema = z.strictObject({
  kind: z.literal('site'),
  name: z.string().min(1).max(MAXIMUM_NAME_LENGTH),
  availabilityZones: z.array(availabilityZoneSchema).min(1).max(64),
  completionTimeWeight: z.number().min(0).max(1_000),
  fragmentationWeight: z.number().min(0).max(1_000),
});
/** The form that the site's operator fills in. */
export type SiteQuestionnaire = z.infer<typeof siteQuestionnaireSchema>;

export const questionnaireSchema = z.discriminatedUnion('kind', [
  customerQuestionnaireSchema,
  siteQuestionnaireSchema,
]);
export type Questionnaire = z.infer<typeof questionnaireSchema>;

const SUBJECT = 'questionnaire';

/** Validates a questionnaire that was sent as a JSON value. */
export function parseQuestionnaire(
  value: unknown,
): Result<Questionnaire, InvalidInputError> {
  return validate(questionnaireSchema, value, SUBJECT);
}

/** Validates a questionnaire that was sent as JSON text. */
export function parseQuestionnaireText(
  text: string,
): Result<Questionnaire, InvalidInputError> {
  return validateJson(questionnaireSchema, text, SUBJECT);
}

/** Returns the configuration edit that applies the questionnaire. */
export function questionnaireToEdit(
  questionnaire: Questionnaire,
): Result<ConfigurationEdit, InvalidInputError> {
  const problem =
    questionnaire.kind === 'site'
      ? findSiteProblem(questionnaire)
      : findCustomerProblem(questionnaire);
  if (problem) return Result.err(problem);
  return Result.ok(
    questionnaire.kind === 'site'
      ? siteEdit(questionnaire)
      : customerEdit(questionnaire),
  );
}

function siteEdit(questionnaire: SiteQuestionnaire): ConfigurationEdit {
  return {
    kind: 'set-site',
    site: {
      name: questionnaire.name,
      availabilityZones: questionnaire.availabilityZones,
      completionTimeWeight: questionnaire.completionTimeWeight,
      fragmentationWeight: questionnaire.fragmentationWeight,
    },
  };
}

function customerEdit(questionnaire: CustomerQuestionnaire): ConfigurationEdit {
  return {
    kind: 'set-customer',
    customer: {
      id: questionnaire.id,
      name: questionnaire.name,
      guarantees: questionnaire.guaranteed.map(toGuarantee),
      acceleratorCeiling: questionnaire.mostAcceleratorsAtOnce,
      weight: questionnaire.weight,
      requestLimits: toRequestLimits(questionnaire),
    },
    workClasses: questionnaire.work.map((answer) =>
      toWorkClass(questionnaire.id, answer),
    ),
  };
}

function toGuarantee(answer: GuaranteeAnswer): Guarantee {
  return {
    availabilityZone: answer.availabilityZone,
    cellSize: answer.adjacentBlock as CellSize,
    cells: answer.accelerators / answer.adjacentBlock,
  };
}

/**
 * Derives the limits from the maximum rate. The burst is one second of
 * requests; by Little's law the concurrency is the rate times the longest wait.
 */
function toRequestLimits(questionnaire: CustomerQuestionnaire): RequestLimits {
  const requestsPerSecond = questionnaire.mostRequestsPerSecond ?? 1;
  const longestWaitSeconds = Math.max(
    1,
    ...shortRequests(questionnaire).map((answer) => answer.callerWaitsSeconds),
  );
  return {
    requestsPerSecond,
    burst: Math.ceil(requestsPerSecond),
    concurrency: Math.min(
      MAXIMUM_CONCURRENCY,
      Math.ceil(requestsPerSecond * longestWaitSeconds),
    ),
  };
}

function toWorkClass(
  customerId: CustomerId,
  answer: CustomerQuestionnaire['work'][number],
): WorkClass {
  if (answer.kind === 'short request') {
    return {
      kind: 'request',
      id: answer.name,
      customerId,
      repeatable: answer.mayBeRepeated && !answer.billed,
      deadlineMs: answer.callerWaitsSeconds * MILLISECONDS_PER_SECOND,
    };
  }
  return {
    kind: 'job',
    id: answer.name,
    customerId,
    shape: {
      tasks: answer.tasks,
      acceleratorsPerTask: answer.acceleratorsPerTask,
    },
    declaredRunTimeMs: answer.usualRunTimeMinutes * MILLISECONDS_PER_MINUTE,
    urgency: answer.when === 'urgent' ? 'urgent' : 'normal',
  };
}

function shortRequests(
  questionnaire: CustomerQuestionnaire,
): ShortRequestAnswer[] {
  return questionnaire.work.filter((answer) => answer.kind === 'short request');
}

function invalidAnswer(field: string, problem: string, remedy: string) {
  return new InvalidInputError(`${SUBJECT}.${field}`, problem, remedy);
}

function findSiteProblem(
  questionnaire: SiteQuestionnaire,
): InvalidInputError | undefined {
  const zones = questionnaire.availabilityZones;
  const repeated = zones.findIndex((zone, i) => zones.indexOf(zone) !== i);
  if (repeated >= 0) {
    return invalidAnswer(
      `availabilityZones.${repeated}`,
      `${zones[repeated]} is listed twice`,
      'list each availability zone once',
    );
  }
  const {completionTimeWeight, fragmentationWeight} = questionnaire;
  if (completionTimeWeight === 0 && fragmentationWeight === 0) {
    return invalidAnswer(
      'completionTimeWeight',
      'both weights are 0',
      'give completionTimeWeight or fragmentationWeight a value above 0',
    );
  }
  return undefined;
}

function findCustomerProblem(
  questionnaire: CustomerQuestionnaire,
): InvalidInputError | undefined {
  return (
    findGuaranteeProblem(questionnaire) ??
    findCeilingProblem(questionnaire) ??
    findWorkProblem(questionnaire) ??
    findRateProblem(questionnaire)
  );
}

function findGuaranteeProblem(
  questionnaire: CustomerQuestionnaire,
): InvalidInputError | undefined {
  const seen = new Set<string>();
  for (const [index, answer] of questionnaire.guaranteed.entries()) {
    const field = `guaranteed.${index}`;
    const {accelerators, adjacentBlock, availabilityZone} = answer;
    if (!(CELL_SIZES as readonly number[]).includes(adjacentBlock)) {
      return invalidAnswer(
        `${field}.adjacentBlock`,
        `${adjacentBlock} is not a size of an adjacent block`,
        `write one of ${CELL_SIZES.join(', ')}`,
      );
    }
    if (accelerators % adjacentBlock !== 0) {
      const lower = accelerators - (accelerators % adjacentBlock);
      const choice = lower > 0 ? `${lower} or ` : '';
      return invalidAnswer(
        `${field}.accelerators`,
        `${accelerators} is not a multiple of the adjacent block of ${adjacentBlock}`,
        `write ${choice}${lower + adjacentBlock}`,
      );
    }
    const key = `${availabilityZone} ${adjacentBlock}`;
    if (seen.has(key)) {
      return invalidAnswer(
        field,
        `blocks of ${adjacentBlock} in ${availabilityZone} are listed twice`,
        'add the accelerators of both entries into one',
      );
    }
    seen.add(key);
  }
  return undefined;
}

function findCeilingProblem(
  questionnaire: CustomerQuestionnaire,
): InvalidInputError | undefined {
  const ceiling = questionnaire.mostAcceleratorsAtOnce;
  const guaranteed = questionnaire.guaranteed.reduce(
    (sum, answer) => sum + answer.accelerators,
    0,
  );
  if (guaranteed <= ceiling) return undefined;
  return invalidAnswer(
    'mostAcceleratorsAtOnce',
    `${ceiling} is less than the ${guaranteed} guaranteed accelerators`,
    `write at least ${guaranteed} or reduce the guarantees`,
  );
}

function findWorkProblem(
  questionnaire: CustomerQuestionnaire,
): InvalidInputError | undefined {
  const names = questionnaire.work.map((answer) => answer.name);
  for (const [index, answer] of questionnaire.work.entries()) {
    if (names.indexOf(answer.name) !== index) {
      return invalidAnswer(
        `work.${index}.name`,
        `${answer.name} is used for two kinds of work`,
        'give each kind of work its own name',
      );
    }
    const problem =
      answer.kind === 'long job'
        ? findShapeProblem(answer, index, questionnaire)
        : undefined;
    if (problem) return problem;
  }
  return undefined;
}

function findShapeProblem(
  answer: LongJobAnswer,
  index: number,
  questionnaire: CustomerQuestionnaire,
): InvalidInputError | undefined {
  const needed = answer.tasks * answer.acceleratorsPerTask;
  if (cellSizeFor(answer) === undefined) {
    return invalidAnswer(
      `work.${index}.tasks`,
      `${answer.tasks} tasks of ${answer.acceleratorsPerTask} accelerators do not fit into one rack of ${ACCELERATORS_PER_RACK}`,
      'write fewer tasks or fewer accelerators per task',
    );
  }
  if (needed > questionnaire.mostAcceleratorsAtOnce) {
    return invalidAnswer(
      `work.${index}.tasks`,
      `the job needs ${needed} accelerators, but mostAcceleratorsAtOnce is ${questionnaire.mostAcceleratorsAtOnce}`,
      `write at least ${needed} for mostAcceleratorsAtOnce or fewer tasks`,
    );
  }
  return undefined;
}

function findRateProblem(
  questionnaire: CustomerQuestionnaire,
): InvalidInputError | undefined {
  if (questionnaire.mostRequestsPerSecond !== undefined) return undefined;
  if (shortRequests(questionnaire).length === 0) return undefined;
  return invalidAnswer(
    'mostRequestsPerSecond',
    'is missing, but work names a short request',
    'write the highest number of requests per second',
  );
}

#!/usr/bin/env node
/**
 * Entry point of the operator's command-line tool.
 */

import {Builtins, Cli} from 'clipanion';
import {
  ConfigurationHistoryCommand,
  ConfigurationShowCommand,
  PowerCommand,
  QuestionnaireApplyCommand,
  QuestionnaireCheckCommand,
} from './configuration_commands.js';
import {ExplainCommand} from './explain_command.js';
import {
  JobsCancelCommand,
  JobsExplainCommand,
  JobsListCommand,
  JobsShowCommand,
} from './job_commands.js';
import {
  AuditCommand,
  DrainCommand,
  StatusCommand,
} from './operation_commands.js';

import {RequestsExplainCommand} from './request_commands.js';
import {
  SiteCancelCommand,
  SiteJobCommand,
  SiteInterferenceCommand,
  SiteJobsCommand,
  SiteStatusCommand,
} from './site_commands.js';

const VERSION = '0.1.0';

const cli = new Cli({
  binaryName: 'bramleystep',
  binaryLabel: 'bramleystep',
  binaryVersion: VERSION,
});
for (const command of [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  QuestionnaireCheckCommand,
  QuestionnaireApplyCommand,
  ConfigurationShowCommand,
  ConfigurationHistoryCommand,
  PowerCommand,
  JobsListCommand,
  JobsShowCommand,
  JobsCancelCommand,
  JobsExplainCommand,
  RequestsExplainCommand,
  StatusCommand,
  DrainCommand,
  AuditCommand,
  SiteStatusCommand,
  SiteInterferenceCommand,
  SiteJobsCommand,
  SiteJobCommand,
  SiteCancelCommand,
  ExplainCommand,
]) {
  cli.register(command);
}

process.exitCode = await cli.run(process.argv.slice(2));

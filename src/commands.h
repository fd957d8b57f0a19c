/*
 * The subcommands. Each takes its own name as argv[0] and returns one of the
 * exit codes of base/exit_code.h.
 */
#ifndef COMMANDS_H
#define COMMANDS_H

int command_check(int argc, char **argv);
int command_ctl(int argc, char **argv);
int command_entry(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_gateway(int argc, char **argv);
int command_sidecar(int argc, char **argv);

#endif

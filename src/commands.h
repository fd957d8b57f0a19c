/*
 * Entry points of the subcommands. argv[0] is the subcommand's name; the result
 * is an exit code of base/exit_code.h.
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

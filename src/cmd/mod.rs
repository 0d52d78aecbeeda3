//! The subcommands of the command-line tool, one a file.

//! The command line of `savoryctl`.

use clap::{Arg, ArgAction, ArgMatches, Command};

const AFTER_HELP: &str = "\
Exit codes: 0 done; 1 refused or failed; 2 wrong usage; 3 unknown outcome, repeat the put.

Examples:
  export SAVORY_ADMIN_ADDRESS=127.0.0.1:7001,127.0.0.1:7002
  export SAVORY_KEY_FILE=team.key
  savoryctl document get sky-writer > sky-writer.json
  savoryctl document put sky-writer.json --replaces 4
  savoryctl state";

/// The definition of the command line.
pub(super) fn command() -> Command {
    Command::new("savoryctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks and changes service documents and shows the state of entry hosts")
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(document_command())
        .subcommand(view(
            "state",
            "Show the state known to an entry host: services, versions, hosts",
            "state",
        ))
        .subcommand(view("hosts", "Show the hosts and their state", "hosts"))
        .subcommand(view(
            "weights",
            "Show which weights each backend server serves and stages",
            "weights",
        ))
        .subcommand(view(
            "requests",
            "Show an entry host's counters of requests, refusals and retries",
            "requests",
        ))
        .subcommand(
            Command::new("digest")
                .about("Print the digest of the key in --key-file, for a document")
                .after_help("Example: savoryctl --key-file team.key digest"),
        )
}

fn global_args() -> Vec<Arg> {
    vec![
        Arg::new("admin-address")
            .long("admin-address")
            .global(true)
            .value_name("IP:PORT,…")
            .env("SAVORY_ADMIN_ADDRESS")
            .help("Administration addresses of entry hosts, tried in this order"),
        Arg::new("key-file")
            .long("key-file")
            .global(true)
            .value_name("FILE")
            .env("SAVORY_KEY_FILE")
            .help("A file that holds the team's or the operators' key"),
        Arg::new("json")
            .long("json")
            .global(true)
            .action(ArgAction::SetTrue)
            .help("Print JSON instead of tables"),
    ]
}

fn view(name: &'static str, about: &'static str, example: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .after_help(format!("Example: savoryctl {example} --json"))
}

fn document_command() -> Command {
    Command::new("document")
        .about("Check, change and show documents")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Check a document without an entry host; nothing is changed")
                .arg(file_arg())
                .after_help("Example: savoryctl document check sky-writer.json"),
        )
        .subcommand(
            Command::new("schema")
                .about("Print the JSON schema of documents")
                .after_help("Example: savoryctl document schema > service-document.json"),
        )
        .subcommand(put_command())
        .subcommand(of_service(
            "get",
            "Print the current document",
            "get sky-writer",
        ))
        .subcommand(
            Command::new("diff")
                .about("Show where a document differs from the current one")
                .arg(file_arg())
                .after_help("Example: savoryctl document diff sky-writer.json"),
        )
        .subcommand(of_service(
            "history",
            "List the versions and their authors",
            "history sky-writer",
        ))
        .subcommand(
            of_service(
                "watch",
                "Show the version in force on each given entry host until all have it",
                "watch sky-writer --until 5",
            )
            .arg(
                Arg::new("until")
                    .long("until")
                    .value_name("VERSION")
                    .value_parser(clap::value_parser!(u64))
                    .help(
                        "Exit 0 once every entry host has this version or a greater one in force",
                    ),
            )
            .arg(
                Arg::new("within")
                    .long("within")
                    .value_name("SECONDS")
                    .default_value("30")
                    .value_parser(clap::value_parser!(u64))
                    .help("Exit 1 when it takes longer"),
            ),
        )
}

fn put_command() -> Command {
    Command::new("put")
        .about("Change a document; the version that it replaces must be given")
        .arg(file_arg())
        .arg(
            Arg::new("replaces")
                .long("replaces")
                .value_name("VERSION")
                .required(true)
                .value_parser(clap::value_parser!(u64))
                .help(
                    "The version that the change replaces, as get shows it; 0 for a new document",
                ),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .env("USER")
                .help("Your name, for the history"),
        )
        .arg(
            Arg::new("nonce")
                .long("nonce")
                .value_name("TEXT")
                .help("The nonce of an earlier put with an unknown outcome, to repeat it"),
        )
        .after_help("Example: savoryctl document put sky-writer.json --replaces 4")
}

fn of_service(name: &'static str, about: &'static str, example: &'static str) -> Command {
    let service = Arg::new("service")
        .value_name("SERVICE")
        .required(true)
        .help("The service's name");
    Command::new(name)
        .about(about)
        .arg(service)
        .after_help(format!("Example: savoryctl document {example}"))
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help("The document, in JSON")
}

/// The text of argument `name`; empty when it is not given.
pub(super) fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

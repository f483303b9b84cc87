//! Child processes of the benchmark: the same program with another subcommand.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Child, ChildStdin, ChildStdout, Command, Stdio},
};

/// A child process with pipes to its standard input and output.
pub struct ChildProcess {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl ChildProcess {
    pub fn start(arguments: &[String]) -> Self {
        let program = std::env::current_exe().expect("this program's path");
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the child starts");
        let input = child.stdin.take().expect("piped");
        let output = BufReader::new(child.stdout.take().expect("piped"));
        Self {
            child,
            input,
            output,
        }
    }

    pub fn write_line(&mut self, line: &str) {
        writeln!(self.input, "{line}").expect("the child reads");
    }

    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.output.read_line(&mut line).expect("the child writes");
        line.trim().to_owned()
    }

    /// Closes the child's input, reads its last line and waits for it to exit.
    pub fn finish(self) -> String {
        let Self {
            mut child,
            input,
            mut output,
        } = self;
        drop(input);
        let mut line = String::new();
        output.read_line(&mut line).expect("the child writes");
        child.wait().expect("the child exits");
        line.trim().to_owned()
    }
}

/// The back-end process and the addresses of its back ends.
pub struct BackendProcess {
    process: ChildProcess,
    pub addresses: String,
}

impl BackendProcess {
    pub fn start(arguments: &[(&str, u64)]) -> Self {
        let mut process = ChildProcess::start(&command_line(crate::backends::NAME, arguments));
        let addresses = process.read_line();
        Self { process, addresses }
    }

    /// Stops the back ends and returns the number of attempts they received.
    pub fn finish(self) -> u64 {
        self.process.finish().parse().expect("a number")
    }
}

/// Runs one agent process until it exits and returns the numbers it prints.
pub fn run_agent(arguments: &[(&str, u64)], addresses: &str) -> Vec<f64> {
    let mut process = ChildProcess::start(&command_line(crate::agent_process::NAME, arguments));
    process.write_line(addresses);
    let report = process.finish();
    report
        .split(' ')
        .map(|number| {
            number
                .parse()
                .unwrap_or_else(|_| panic!("not a report: {report}"))
        })
        .collect()
}

/// Reads the addresses that the parent process writes to standard input.
pub fn read_addresses() -> Vec<SocketAddr> {
    let mut line = String::new();
    std::io::stdin()
        .read_line(&mut line)
        .expect("the parent writes");
    let addresses = line.split_whitespace().map(str::parse);
    addresses
        .map(|address| address.expect("an address"))
        .collect()
}

fn command_line(name: &str, arguments: &[(&str, u64)]) -> Vec<String> {
    let options = arguments
        .iter()
        .flat_map(|(name, value)| [format!("--{name}"), value.to_string()]);
    std::iter::once(name.to_owned()).chain(options).collect()
}

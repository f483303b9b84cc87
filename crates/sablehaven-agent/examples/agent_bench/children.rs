//! Child processes of the benchmark: this program itself, under another subcommand.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Child, ChildStdin, ChildStdout, Command, Stdio},
};

/// A child with its pipes.
pub struct Process {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Process {
    pub fn start(arguments: &[String]) -> Self {
        let program = std::env::current_exe().expect("this program's path");
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("this program starts again");
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

    /// Ends the child's input, reads its last line and waits for its end.
    pub fn finish(self) -> String {
        let Self {
            mut child,
            input,
            mut output,
        } = self;
        drop(input);
        let mut line = String::new();
        output.read_line(&mut line).expect("the child writes");
        child.wait().expect("the child ends");
        line.trim().to_owned()
    }
}

/// The back ends' process and their addresses.
pub struct Backends {
    process: Process,
    pub addresses: String,
}

impl Backends {
    pub fn start(arguments: &[(&str, u64)]) -> Self {
        let mut process = Process::start(&line(crate::backends::NAME, arguments));
        let addresses = process.read_line();
        Self { process, addresses }
    }

    /// Ends the back ends; the number of attempts that they saw.
    pub fn finish(self) -> u64 {
        self.process.finish().parse().expect("a number")
    }
}

/// Runs one agent process to its end and gives the numbers that it prints.
pub fn run_agent(arguments: &[(&str, u64)], addresses: &str) -> Vec<f64> {
    let mut process = Process::start(&line(crate::agent_process::NAME, arguments));
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

/// The addresses that a parent writes.
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

fn line(name: &str, arguments: &[(&str, u64)]) -> Vec<String> {
    let options = arguments
        .iter()
        .flat_map(|(name, value)| [format!("--{name}"), value.to_string()]);
    std::iter::once(name.to_owned()).chain(options).collect()
}

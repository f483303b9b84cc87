//! The back ends that run what may not be repeated; they record every run.

use crate::{
    packet::Packet,
    process::{Context, Input, Role},
};

/// Requests that a back end refuses before it starts, in thousandths.
const REFUSALS_PER_MILLE: u64 = 150;

/// All back ends in one.
pub struct Backends;

impl Role for Backends {
    fn handle(&mut self, context: &mut Context<'_>, input: Input) {
        let Input::Packet {
            from,
            packet: Packet::Dispatch { attempt, call },
        } = input
        else {
            return;
        };
        let has_run = !context.random.chance(REFUSALS_PER_MILLE);
        if has_run {
            context.checks.executed(context.now, &call);
        }
        context.send(from, Packet::DispatchReply { attempt, has_run });
    }
}

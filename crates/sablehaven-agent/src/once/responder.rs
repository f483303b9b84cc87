//! Gives the caller its answer exactly once, while the flow may go on.

use std::{future::Future, time::Instant};

use tokio::{sync::oneshot, time::timeout_at};

use crate::answer::Answer;

/// The way back to the caller.
#[derive(Debug)]
pub struct Responder {
    sender: Option<oneshot::Sender<Answer>>,
}

impl Responder {
    /// A responder that has not answered.
    pub fn new(sender: oneshot::Sender<Answer>) -> Self {
        Self {
            sender: Some(sender),
        }
    }

    /// Answers; a second answer is dropped. A caller who has gone away is no error.
    pub fn answer(&mut self, answer: Answer) {
        if let Some(sender) = self.sender.take() {
            let _ = sender.send(answer);
        }
    }

    /// Waits for `work`, but lets the caller wait no longer than `until`: then it is given `answer`
    /// while the work goes on.
    pub async fn answer_by<Work: Future>(
        &mut self,
        deadline: Instant,
        answer: impl FnOnce() -> Answer,
        work: Work,
    ) -> Work::Output {
        tokio::pin!(work);
        match timeout_at(deadline.into(), &mut work).await {
            Ok(output) => output,
            Err(_) => {
                self.answer(answer());
                work.await
            }
        }
    }
}

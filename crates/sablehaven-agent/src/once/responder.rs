//! Sends the caller exactly one answer, possibly before the request's task has finished.

use std::{future::Future, time::Instant};

use tokio::{sync::oneshot, time::timeout_at};

use crate::answer::Answer;

/// Sends the answer of one request.
#[derive(Debug)]
pub struct Responder {
    sender: Option<oneshot::Sender<Answer>>,
}

impl Responder {
    /// Creates a responder that sends its answer through `sender`.
    pub fn new(sender: oneshot::Sender<Answer>) -> Self {
        Self {
            sender: Some(sender),
        }
    }

    /// Sends the answer. Any further answer is dropped. It is not an error if the caller has
    /// disconnected.
    pub fn answer(&mut self, answer: Answer) {
        if let Some(sender) = self.sender.take() {
            let _ = sender.send(answer);
        }
    }

    /// Waits for `work` to complete. If it has not completed by `deadline`, sends `answer` to the
    /// caller and goes on waiting.
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

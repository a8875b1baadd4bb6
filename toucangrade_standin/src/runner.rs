//! Executions of the stand-in and their journal.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use toucangrade::{Handler, Inbound, Outbound};

use crate::options::Options;

/// Time that the journal is behind at most: none, each line is written at once.
struct Shared {
    journal: Option<File>,
    /// Executions under way, with the sender that stops each.
    running: BTreeMap<String, oneshot::Sender<()>>,
    count: u64,
}

/// The back end.
#[derive(Clone)]
pub(crate) struct Runner {
    shared: Arc<Mutex<Shared>>,
    delay: Duration,
    fail: u64,
}

impl Runner {
    /// Opens the journal.
    pub(crate) fn open(options: &Options) -> io::Result<Self> {
        let open = |path| OpenOptions::new().append(true).create(true).open(path);
        let journal = options.journal.as_ref().map(open).transpose()?;
        let shared = Shared { journal, running: BTreeMap::new(), count: 0 };
        let (delay, fail) = (Duration::from_millis(options.delay), options.fail);
        Ok(Self { shared: Arc::new(Mutex::new(shared)), delay, fail })
    }

    /// Answers `POST /{kind}` with an execution and `DELETE /{kind}` with its stop.
    pub(crate) fn handler(&self) -> Handler {
        let runner = self.clone();
        Arc::new(move |call| {
            let runner = runner.clone();
            Box::pin(async move {
                let key = call.header("idempotency-key").unwrap_or("none").to_owned();
                match call.method.as_str() {
                    "POST" => runner.execute(call, key).await,
                    "DELETE" => runner.stop(&key),
                    _ => Outbound::new(405, "only POST and DELETE"),
                }
            })
        })
    }

    async fn execute(&self, call: Inbound, key: String) -> Outbound {
        let lease = call.header("toucangrade-lease-ms").and_then(|value| value.parse().ok());
        let (sender, stopped) = oneshot::channel();
        let number = self.start(&key, sender);
        // An execution gives up by itself when its lease ends.
        let limit = Duration::from_millis(lease.unwrap_or(u64::MAX));
        let work = async { tokio::time::timeout(self.delay, stopped).await.is_ok() };
        match tokio::time::timeout(limit, work).await {
            Ok(false) => {
                self.end("end", &key);
                if number * self.fail / 100 != (number + 1) * self.fail / 100 {
                    return Outbound::new(500, "failed as told");
                }
                Outbound::new(200, [b"done ".as_slice(), &call.body].concat())
            },
            Ok(true) => Outbound::new(409, "stopped"),
            Err(_) => {
                self.end("stop", &key);
                Outbound::new(409, "lease ended")
            },
        }
    }

    /// Executions under way.
    pub(crate) fn busy(&self) -> usize {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner).running.len()
    }

    fn stop(&self, key: &str) -> Outbound {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = shared.running.remove(key) {
            shared.write("stop", key);
            // The execution may have ended in between, which is as good as stopped.
            let _ = sender.send(());
        }
        Outbound::new(200, "stopped")
    }

    fn start(&self, key: &str, sender: oneshot::Sender<()>) -> u64 {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.write("start", key);
        shared.running.insert(key.to_owned(), sender);
        shared.count += 1;
        shared.count
    }

    fn end(&self, word: &str, key: &str) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if shared.running.remove(key).is_some() {
            shared.write(word, key);
        }
    }
}

impl Shared {
    fn write(&mut self, word: &str, key: &str) {
        if let Some(journal) = &mut self.journal
            && let Err(error) = writeln!(journal, "{word} {key}")
        {
            eprintln!("toucangrade_standin: the journal can't be written: {error}");
        }
    }
}

//! The platform: starts a conductor with the deploy file's command, sends it signals and waits for its end.

use std::fs::{self, File};
use std::io::{Error, Result};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, Once, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::agent::Agent;
use crate::client::{Answer, Client};

/// The longest that a case runs.
const CASE_TIMEOUT: Duration = Duration::from_secs(100);
/// The processes that run, for the end of a case that takes too long.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static WATCHDOG: Once = Once::new();

/// Ends all processes and the case once it has taken too long.
fn start_watchdog() {
    WATCHDOG.call_once(|| {
        spawn(|| {
            sleep(CASE_TIMEOUT);
            println!("the case took longer than {CASE_TIMEOUT:?}");
            for pid in RUNNING.lock().unwrap_or_else(PoisonError::into_inner).iter() {
                let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).status();
            }
            std::process::exit(2);
        });
    });
}

/// A running conductor. Dropping it kills its process and removes its folder.
pub struct Conductor {
    pub listen: SocketAddr,
    child: Child,
    folder: PathBuf,
}

/// The folder of the project, which `ROOT` names.
fn root() -> PathBuf {
    std::env::var("ROOT").map_or_else(|_| PathBuf::from("."), PathBuf::from)
}

/// The deploy file's command.
fn run_command(root: &Path) -> Result<String> {
    let file = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let run = file.lines().find_map(|line| line.strip_prefix("run")?.trim().strip_prefix('='));
    let run = run.and_then(|value| Some(value.trim().strip_prefix('"')?.split('"').next()?.to_string()));
    run.ok_or_else(|| Error::other("deploy/balancer.toml names no command `run`"))
}

/// An address that is free now.
pub fn free_address() -> Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Conductor {
    /// Starts a conductor and waits until it is ready. `limits` and `settings` are JSON objects.
    pub fn start(name: &str, agent: &Agent, limits: &str, settings: &str) -> Result<Self> {
        Conductor::start_with_chat(name, agent, limits, settings, None)
    }

    /// The same, with the chat front at an address if one is given; requests that name no class are of `class`.
    pub fn start_with_chat(
        name: &str,
        agent: &Agent,
        limits: &str,
        settings: &str,
        chat: Option<(SocketAddr, &str)>,
    ) -> Result<Self> {
        let (listen, root) = (free_address()?, root().canonicalize()?);
        let mut command = run_command(&root)?;
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(folder.join("tmp"))?;
        let (discovery, known) = (agent.address, agent.list().1);
        let config = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","#
        ) + &format!(r#""limits":{limits},"known":{known},"settings":{settings}}}"#);
        let (file, log) = (folder.join("config.json"), File::create(folder.join("log.txt"))?);
        fs::write(&file, config)?;
        if let Some((address, class)) = chat {
            let chat_file = folder.join("chat.toml");
            let text = format!(
                "listen = \"{address}\"\nmodels = [\"chat\"]\nclass = \"{class}\"\nmax_tokens = 400\n"
            );
            fs::write(&chat_file, text)?;
            command += &format!(" --chat {}", chat_file.display());
        }
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(&root)
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", listen.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("EDGE_CONFIG", &file)
            .env("TMPDIR", folder.join("tmp"))
            .env_remove("EDGE_OPS")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        start_watchdog();
        RUNNING.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        let mut conductor = Conductor { listen, child, folder };
        let deadline = Instant::now() + Duration::from_secs(20);
        while !conductor.is_ready() {
            if Instant::now() > deadline || conductor.end()?.is_some() {
                return Err(Error::other(format!("the conductor is not ready:\n{}", conductor.log())));
            }
            sleep(Duration::from_millis(20));
        }
        Ok(conductor)
    }

    fn is_ready(&self) -> bool {
        let request = b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
        let Ok(mut client) = Client::connect(self.listen) else { return false };
        let is_sent = client.send(request).is_ok();
        is_sent && matches!(client.answer(Duration::from_secs(1)), Answer::Status(200))
    }

    /// Sends a signal, such as `TERM`, to the conductor's process.
    pub fn signal(&self, name: &str) -> Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").args(["-c", &command]).status()?;
        status.success().then_some(()).ok_or_else(|| Error::other(format!("{command}: {status}")))
    }

    /// How the process has ended, if it has.
    pub fn end(&mut self) -> Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// What the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }
}

impl Drop for Conductor {
    fn drop(&mut self) {
        RUNNING.lock().unwrap_or_else(PoisonError::into_inner).retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

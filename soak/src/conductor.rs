//! The processes of a conductor: starts them under the fault shim, sends them signals, and calls their
//! operators' address.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

use crate::shim::{ControlFile, SystemFaults, LIBRARY_PATH};

/// A new process is ready within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a call to an operators' address.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What a conductor's processes are started with.
#[derive(Debug)]
pub struct ProcessSpec {
    /// The conductor's program.
    pub program: PathBuf,
    /// The conductor's own folder, for configuration, state, logs and control files.
    pub folder: PathBuf,
    /// The configuration, as JSON.
    pub config: Value,
    /// Where the conductor listens for clients.
    pub listen: SocketAddr,
}

impl ProcessSpec {
    /// Writes the configuration file, which a running process reads again at SIGHUP.
    pub fn write_config(&self) -> std::io::Result<()> {
        // Renamed into place, as a process may read the file at this moment.
        let temporary = self.folder.join("config.json.part");
        std::fs::write(&temporary, self.config.to_string())?;
        std::fs::rename(temporary, self.folder.join("config.json"))
    }

    /// Starts a process with its own operators' address, under these faults. The start number names its log
    /// and its control file.
    pub fn spawn(
        &self,
        start_number: usize,
        ops: SocketAddr,
        faults: SystemFaults,
    ) -> std::io::Result<Process> {
        self.write_config()?;
        let control = ControlFile::create(&self.folder.join(format!("control-{start_number}")), faults)?;
        let log = std::fs::File::create(self.folder.join(format!("log-{start_number}.txt")))?;
        let child = Command::new(&self.program)
            .env("EDGE_CONFIG", self.folder.join("config.json"))
            .env("EDGE_OPS", ops.to_string())
            .env("TMPDIR", &self.folder)
            .env("LD_PRELOAD", LIBRARY_PATH)
            .env("FAULT_SHIM_CONTROL", control.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Process { child, ops, control })
    }
}

/// Below the ephemeral ports, which the kernel assigns to sockets that connect or bind without naming one.
const PORT_RANGE: std::ops::Range<u16> = 12_000..30_000;
/// How many ports are tried for a free one.
const MAX_PORT_ATTEMPTS: u32 = 100;

/// Finds a free loopback address whose port the kernel assigns to no other socket by itself.
pub fn find_free_address() -> std::io::Result<SocketAddr> {
    let mut rng = SmallRng::from_os_rng();
    let mut last_error = std::io::ErrorKind::AddrInUse.into();
    for _ in 0..MAX_PORT_ATTEMPTS {
        let address = SocketAddr::from(([127, 0, 0, 1], rng.random_range(PORT_RANGE)));
        match std::net::TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

/// A conductor's process. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The operators' address of the process.
    pub ops: SocketAddr,
    /// Switches the faults of the process.
    pub control: ControlFile,
}

impl Process {
    /// Sends a signal, named as for the `kill` command, such as `-TERM`.
    pub async fn signal(&self, name: &str) {
        let Some(id) = self.child.id() else { return };
        // A process that has ended gets no signal.
        let _ = Command::new("kill").args([name, &id.to_string()]).stderr(Stdio::null()).status().await;
    }

    /// Returns the exit code if the process has ended, -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// Waits for the process to end, and returns the exit code; `None` if it runs on at the limit.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<i32> {
        let status = timeout(limit, self.child.wait()).await.ok()?.ok()?;
        Some(status.code().unwrap_or(-1))
    }

    /// The largest resident memory so far; `None` if the process has ended.
    pub fn peak_memory_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: u64 = peak.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kib * 1_024)
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill().await;
    }

    /// Waits until the process reports that it is ready.
    pub async fn wait_until_ready(&mut self) -> Result<(), String> {
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            if let Some(code) = self.exit_code() {
                return Err(format!("crash: it ended with {code} as it started"));
            }
            if call_ops(self.ops, "GET", "/api/ready", "").await.is_ok_and(|(status, _)| status == 200) {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(format!("start: not ready after {READY_TIMEOUT:?}"))
    }

    /// Returns how many violations of its own invariants the process has counted.
    pub async fn count_violations(&self) -> Option<u64> {
        let (_, metrics) = call_ops(self.ops, "GET", "/api/telemetry", "").await.ok()?;
        let counts = metrics.lines().filter(|line| line.starts_with("svc_violations{"));
        Some(counts.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>() as u64)
    }
}

/// Sends one request to an operators' address, and returns status and body.
pub async fn call_ops(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<(u16, String)> {
    let length = body.len();
    let request = format!("{method} {path} HTTP/1.1\r\nhost: ops\r\ncontent-length: {length}\r\n\r\n{body}");
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await?;
        let status = response.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        Ok((status, response.split_once("\r\n\r\n").map(|(_, body)| body.to_string()).unwrap_or_default()))
    };
    timeout(CALL_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

/// Checks that the program has been built.
pub fn check_program_exists(program: &Path) -> Result<(), String> {
    match program.is_file() {
        true => Ok(()),
        false => Err(format!("{}: no such program; build it first (make build)", program.display())),
    }
}

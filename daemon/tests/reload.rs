//! SIGHUP at a real process: new settings apply completely or not at all, also while requests are open.

mod support;

use serde_json::{json, Value};
use support::operations::*;
use support::*;

/// A request of this class.
fn request_of_class(id: &str, class: &str) -> String {
    let headers = format!(
        "x-txn: {id}\r\nx-lane: {class}\r\nx-entity: s\r\nx-remaining: 4000m\r\nx-labels: prompt_len=600\r\n"
    );
    post("/v1/chat/completions", &headers, "{}")
}

/// The settings of a class.
fn class_settings(name: &str, effect: &str) -> Value {
    json!({"name": name, "slo": 3_000_000, "deadline": 8_000_000, "effect": effect, "late-share": 0.2,
        "points": 1.0, "dedup-scope": "all", "dedup-window": 0})
}

/// Sends a request of this class and returns the status of its answer.
async fn status_of(process: &DaemonProcess, id: &str, class: &str) -> u16 {
    exchange(process.listen, &request_of_class(id, class)).await.status
}

#[tokio::test]
async fn classes_come_and_go_while_the_program_serves() {
    let mut deployment = Deployment::new("reload-classes").await;
    let (mut process, _) = deployment.start("reload-classes").await;
    assert_eq!(status_of(&process, "before-1", "ask").await, 200);
    assert_eq!(status_of(&process, "before-2", "change").await, 400);
    // Reorders the classes, adds one and removes one.
    deployment.config["settings"]["grades"] =
        json!([class_settings("change", "fragile"), class_settings("ask", "retryable")]);
    deployment.rewrite_config("reload-classes", &deployment.config.to_string());
    process.signal("-HUP");
    process.wait_for_log("configuration read");
    for (id, class, status) in [("after-1", "change", 200), ("after-2", "ask", 200), ("after-3", "book", 400)]
    {
        assert_eq!(status_of(&process, id, class).await, status, "{class}");
    }
}

#[tokio::test]
async fn an_open_request_ends_by_the_settings_under_which_it_arrived() {
    let mut deployment = Deployment::new("reload-open").await;
    let (mut process, _) = deployment.start("reload-open").await;
    let [_, decode] = &deployment.servers;
    // The connection breaks after the reload and before the first event, so the request may have run.
    decode.next(Behavior::SendsFromChannel);
    let stream = send(process.listen, &request_of_class("open", "book")).await;
    while decode.posts().is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    deployment.config["settings"]["grades"] = json!([class_settings("ask", "retryable")]);
    deployment.rewrite_config("reload-open", &deployment.config.to_string());
    process.signal("-HUP");
    process.wait_for_log("configuration read");
    decode.close_all().await;
    assert_eq!(read_answer(stream).await.status, 502);
    assert_eq!(decode.posts().len(), 1, "a request that must not run twice was sent again");
}

#[tokio::test]
async fn the_decisions_follow_the_new_settings_too() {
    let mut deployment = Deployment::new("reload-decisions").await;
    let (mut process, ops) = deployment.start("reload-decisions").await;
    assert_eq!(exclude(ops, "p").await, 200);
    wait_for_status(process.listen, "advised", 503).await;
    let has_retry_after = |answer: Answer| answer.header("retry-after").is_some();
    assert!(has_retry_after(exchange(process.listen, &request("before")).await));
    deployment.config["settings"]["limits"]["retry-after"] = json!(false);
    deployment.rewrite_config("reload-decisions", &deployment.config.to_string());
    process.signal("-HUP");
    process.wait_for_log("configuration read");
    assert!(!has_retry_after(exchange(process.listen, &request("after")).await));
}

/// Bad configuration files, each with a description of its fault.
fn broken_files(good: &Value) -> Vec<(String, String)> {
    let text = good.to_string();
    let mut files = vec![("empty".into(), String::new()), ("cut off".into(), text[..text.len() / 2].into())];
    let mut with = |pointer: &str, value: Value| {
        let mut file = good.clone();
        // Would take effect if the file were accepted by mistake.
        file["discovery"] = json!("127.0.0.1:1");
        *file.pointer_mut(pointer).unwrap() = value.clone();
        files.push((format!("{pointer}: {value}"), file.to_string()));
    };
    for bad in [json!(0), json!(-1), json!(1.5), json!("6000000"), json!(1e30), json!(null)] {
        with("/settings/grades/0/deadline", bad.clone());
        with("/settings/limits/max-attempts", bad);
    }
    with("/settings/grades", json!([]));
    with("/settings/grades/1/name", json!("ask"));
    with("/settings/zones", json!(["elsewhere", "z"]));
    let keys =
        ["/settings", "/settings/limits", "/settings/rules/fall", "/settings/grades/0/effect", "/seed"];
    for key in keys.into_iter().chain(["/settings/grades/1/points", "/limits/cores", "/settings/tick"]) {
        let mut file = good.clone();
        file["discovery"] = json!("127.0.0.1:1");
        let (parent, name) = key.rsplit_once('/').unwrap();
        file.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(name).unwrap();
        files.push((format!("without {key}"), file.to_string()));
    }
    files
}

#[tokio::test]
async fn a_bad_file_changes_nothing() {
    let deployment = Deployment::new("reload-broken").await;
    let (mut process, _) = deployment.start("reload-broken").await;
    for (index, (fault, text)) in broken_files(&deployment.config).into_iter().enumerate() {
        deployment.rewrite_config("reload-broken", &text);
        process.signal("-HUP");
        let line = process.wait_for_log("SIGHUP: ");
        assert!(line.contains("the old configuration stays in force"), "{fault}: {line}");
        assert_eq!(status_of(&process, &format!("broken-{index}"), "book").await, 200, "{fault}");
    }
    deployment.rewrite_config("reload-broken", &deployment.config.to_string());
    process.signal("-HUP");
    assert!(process.wait_for_log("SIGHUP: ").contains("configuration read"));
}

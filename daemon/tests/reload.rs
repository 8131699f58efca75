//! SIGHUP at a real process: new settings whole or not at all, also with requests open.

mod support;

use serde_json::{json, Value};
use support::operations::*;
use support::*;

fn of_class(id: &str, class: &str) -> String {
    let headers = format!(
        "x-txn: {id}\r\nx-lane: {class}\r\nx-entity: s\r\nx-remaining: 4000m\r\nx-labels: prompt_len=600\r\n"
    );
    post("/v1/chat/completions", &headers, "{}")
}

fn class(name: &str, effect: &str) -> Value {
    json!({"name": name, "slo": 3_000_000, "deadline": 8_000_000, "effect": effect, "late-share": 0.2,
        "points": 1.0, "dedup-scope": "all", "dedup-window": 0})
}

async fn status(running: &DaemonProcess, id: &str, of: &str) -> u16 {
    exchange(running.listen, &of_class(id, of)).await.status
}

#[tokio::test]
async fn classes_come_and_go_while_the_program_serves() {
    let mut deployment = Deployment::new("reload-classes").await;
    let (mut running, _) = deployment.start("reload-classes").await;
    assert_eq!(status(&running, "before-1", "ask").await, 200);
    assert_eq!(status(&running, "before-2", "change").await, 400);
    // Another order, one class more, and one that is dropped.
    deployment.config["settings"]["grades"] = json!([class("change", "fragile"), class("ask", "retryable")]);
    deployment.rewrite_config("reload-classes", &deployment.config.to_string());
    running.signal("-HUP");
    running.wait_for_log("configuration read");
    for (id, of, told) in [("after-1", "change", 200), ("after-2", "ask", 200), ("after-3", "book", 400)] {
        assert_eq!(status(&running, id, of).await, told, "{of}");
    }
}

#[tokio::test]
async fn an_open_request_ends_by_the_rules_under_which_it_came() {
    let mut deployment = Deployment::new("reload-open").await;
    let (mut running, _) = deployment.start("reload-open").await;
    let [_, decode] = &deployment.servers;
    // Its answer breaks before its first event, once the settings have changed: it may have run.
    decode.next(Behavior::SendsFromChannel);
    let stream = send(running.listen, &of_class("open", "book")).await;
    while decode.posts().is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    deployment.config["settings"]["grades"] = json!([class("ask", "retryable")]);
    deployment.rewrite_config("reload-open", &deployment.config.to_string());
    running.signal("-HUP");
    running.wait_for_log("configuration read");
    decode.close_all().await;
    assert_eq!(read_answer(stream).await.status, 502);
    assert_eq!(decode.posts().len(), 1, "a request that must not run twice was sent again");
}

#[tokio::test]
async fn the_decisions_go_by_the_new_settings_too() {
    let mut deployment = Deployment::new("reload-decisions").await;
    let (mut running, ops) = deployment.start("reload-decisions").await;
    assert_eq!(exclude(ops, "p").await, 200);
    wait_for_status(running.listen, "advised", 503).await;
    let advice = |answer: Answer| answer.header("retry-after").is_some();
    assert!(advice(exchange(running.listen, &request("before")).await));
    deployment.config["settings"]["limits"]["retry-after"] = json!(false);
    deployment.rewrite_config("reload-decisions", &deployment.config.to_string());
    running.signal("-HUP");
    running.wait_for_log("configuration read");
    assert!(!advice(exchange(running.listen, &request("after")).await));
}

/// What is wrong with a file, by name, and the file.
fn broken_files(good: &Value) -> Vec<(String, String)> {
    let text = good.to_string();
    let mut files = vec![("empty".into(), String::new()), ("cut off".into(), text[..text.len() / 2].into())];
    let mut with = |pointer: &str, value: Value| {
        let mut file = good.clone();
        // What it would bring if it were taken for good.
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
async fn nothing_is_taken_from_a_file_that_is_no_good() {
    let deployment = Deployment::new("reload-broken").await;
    let (mut running, _) = deployment.start("reload-broken").await;
    for (nth, (what, text)) in broken_files(&deployment.config).into_iter().enumerate() {
        deployment.rewrite_config("reload-broken", &text);
        running.signal("-HUP");
        let line = running.wait_for_log("SIGHUP: ");
        assert!(line.contains("the old configuration stays in force"), "{what}: {line}");
        assert_eq!(status(&running, &format!("broken-{nth}"), "book").await, 200, "{what}");
    }
    deployment.rewrite_config("reload-broken", &deployment.config.to_string());
    running.signal("-HUP");
    assert!(running.wait_for_log("SIGHUP: ").contains("configuration read"));
}

//! Tests that pass whole batches through the adapter's main loop.

use super::run;

const SETUP: &str = r#"{"balancers":1,"domain-type":"twostage","grades":[{"name":"c","slo":1000000,
"deadline":5000000,"effect":"retryable","late-share":0.2,"points":1.0,"dedup-scope":"all","dedup-window":0}],
"kinds":["reader","writer"],"limits":{"cancel":true,"max-attempts":4,"parallel-tries":false,"may-probe":true,
"retry-after":true,"max-retry-after":500000},"membership-mode":"push","over-share-worth":0.1,
"rules":{"cold-from":0.25,"drain-grace":500000,"fall":1000000,"fall-multiple":2.5,"grace-to-answer":16000,
"warm-within":10000000},"specifics":{"aim-us-per-1000-prompt-tokens":[40000.0],"holds-allowed":true,
"kind-role":["read","write"],"kv-tokens":[200000,150000],"release":500000,"resume":true,"self-prefill":false,
"token-aim":[60000.0]},"tenants":[{"name":"t","quota-per-s":5.0}],"tick":4000,"zone":"z","zones":["z"],
"a-key-of-the-future":[1]}"#;

const LIST: &str = r#"["members","router_0","warm_copy",1,[[0,1,"reader","z","10.0.0.1:9000",null,"U"],
[0,1,"writer","z","10.0.0.2:9000",0,"U"]]]"#;

const QUERY: &str = r#"["query","router_0","id-1",false,null,"p",1800,1200,256,false,"s","c",5000000,"t"]"#;

fn one_line(text: &str) -> String {
    text.replace('\n', "")
}

fn provision_event(setup: &str) -> String {
    format!(r#"["provision","router_0",7,{}]"#, one_line(setup))
}

fn batch(now: u64, index: u64, events: &[&str]) -> String {
    let events: Vec<_> = events.iter().map(|e| one_line(e)).collect();
    format!("[\"mark\",{now},{index}]\n{}\n[\"end\"]\n", events.join("\n"))
}

fn run_adapter(input: &str) -> Result<String, String> {
    let mut output = Vec::new();
    run(input.as_bytes(), &mut output).map(|()| String::from_utf8(output).unwrap())
}

fn provisioned_batch(more_events: &[&str]) -> String {
    let provision = provision_event(SETUP);
    let mut events = vec![&*provision, LIST];
    events.extend(more_events);
    batch(1_000_000, 1, &events)
}

#[test]
fn an_empty_batch_is_acknowledged() {
    assert_eq!(run_adapter("[\"mark\",8412250,1]\n[\"end\"]\n").unwrap(), "[\"ok\",1]\n");
    assert_eq!(run_adapter("").unwrap(), "");
}

#[test]
fn a_request_is_prefilled_decoded_and_served() {
    let prefilled = r#"["result","router_0","id-1",30000,600,false,0,"10.0.0.1:9000","ready_to_answer",
        {"x0":0.4,"x1":1.5,"new":1}]"#;
    let headers = r#"["headers","router_0","id-1",1,"10.0.0.2:9000",9250]"#;
    let served = r#"["result","router_0","id-1",18500,null,true,1,"10.0.0.2:9000","served",null]"#;
    let input = provisioned_batch(&[QUERY])
        + &batch(1_100_000, 2, &[prefilled])
        + &batch(1_200_000, 3, &[headers, served]);
    let output = run_adapter(&input).unwrap();
    let relays: Vec<_> = output.lines().filter(|l| l.starts_with("[\"relay\"")).collect();
    assert_eq!(relays.len(), 2);
    assert!(
        relays[0].starts_with(r#"["relay","router_0","id-1","#) && relays[0].ends_with(r#""10.0.0.1:9000"]"#)
    );
    assert!(relays[1].ends_with(r#""10.0.0.2:9000"]"#));
    assert!(output.ends_with("[\"ok\",3]\n"));
}

#[test]
fn every_other_event_is_parsed_and_unknown_ones_are_skipped() {
    let events = [
        r#"["timed-out-client","router_0","no such"]"#,
        r#"["hold-result","router_0","no such",1,0,0.5,"10.0.0.2:9000"]"#,
        r#"["status-back","router_0","10.0.0.2:9000","served",1400,{"utilization":0.4,"backlog":2}]"#,
        r#"["bell","router_0",77]"#,
        r#"["members","router_0","lost",2,null]"#,
        r#"["members","router_0","incr",3,[[0,1,"writer","z","10.0.0.2:9000",0,"D"]]]"#,
        r#"["memo","router_0",2,"hi"]"#,
        r#"["an-event-of-the-future","router_0",{}]"#,
        r#"["bell","router_9",1]"#,
        r#"["retire","router_0"]"#,
        r#"["bell","router_0",1]"#,
    ];
    assert!(run_adapter(&provisioned_batch(&events)).unwrap().ends_with("[\"ok\",1]\n"));
}

#[test]
fn malformed_input_ends_the_run_with_the_line_number() {
    let malformed = [
        "{\"not\":\"an array\"}\n".to_string(),
        "not json\n".to_string(),
        "[7]\n".to_string(),
        "[\"end\"]\n".to_string(),
        "[\"bell\",\"router_0\",1]\n".to_string(),
        "[\"mark\",1,1]\n[\"mark\",2,2]\n".to_string(),
        "[\"mark\",1,1]\n".to_string(),
        "[\"mark\",\"soon\",1]\n".to_string(),
        provisioned_batch(&[r#"["bell","router_0","x"]"#]),
        provisioned_batch(&[r#"["result","router_0","i",1,0,false,0,"w","no such word",null]"#]),
        provisioned_batch(&[r#"["query","router_0","i",false,0,"p",1,1,1,false,"s","no such class",5,"t"]"#]),
    ];
    for input in malformed {
        let error = run_adapter(&input).expect_err(&input);
        assert!(error.starts_with("line ") || error.contains("ends within"), "{error}");
    }
}

#[test]
fn missing_or_invalid_settings_print_a_panic_that_names_the_key() {
    let cases = [
        ("\"balancers\":1", "\"balancers\":\"one\"", "balancers"),
        ("\"fall\":1000000,", "", "rules.fall"),
        ("\"slo\":1000000,", "", "grades[].slo"),
        ("\"kv-tokens\":[200000,150000],", "", "specifics.kv-tokens"),
        ("\"zones\":[\"z\"]", "\"zones\":7", "zones"),
        ("\"effect\":\"retryable\"", "\"effect\":\"odd\"", "grades[].effect"),
        ("\"quota-per-s\":5.0", "\"quota-per-s\":null", "tenants[].quota-per-s"),
    ];
    for (from, to, key) in cases {
        let setup = one_line(SETUP).replace(from, to);
        assert_ne!(setup, one_line(SETUP), "{key}");
        let output = run_adapter(&batch(1, 1, &[&provision_event(&setup), LIST, QUERY])).unwrap();
        let first = output.lines().next().unwrap();
        assert!(first.starts_with("[\"panic\",\"router_0\",") && first.contains(key), "{key}: {output}");
        assert!(output.ends_with("[\"ok\",1]\n"));
    }
}

#[test]
fn instances_do_not_share_state() {
    let single = run_adapter(&provisioned_batch(&[QUERY])).unwrap();
    let other = |text: &str| one_line(text).replace("router_0", "router_1");
    let provision = provision_event(SETUP);
    let second = [other(&provision), other(LIST)];
    let both = [&*second[0], &*second[1], &*provision, LIST, QUERY];
    let both = run_adapter(&batch(1_000_000, 1, &both)).unwrap();
    let lines_of_first =
        |text: &str| text.lines().filter(|l| l.contains("router_0")).collect::<Vec<_>>().join("\n");
    assert_eq!(lines_of_first(&single), lines_of_first(&both));
}

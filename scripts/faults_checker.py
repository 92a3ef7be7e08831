"""Checks the history of a run: executions logged by the stand-in backend servers against outcomes reported to callers."""

import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field

# Time for which a backend server may still receive requests after it announced that it drains.
DRAIN_LIMIT_MS = 2000


@dataclass
class History:
    """Lines of the execution logs and the outcome logs, and the guarantees that apply to the run."""

    executions: list = field(default_factory=list)
    outcomes: list = field(default_factory=list)
    # Processes ended only by planned stops, so no request may be cut.
    is_planned: bool = False
    # Maximum number of times a root request without a key may reach backend servers of one service; None for no bound.
    max_attempts: int = None


def read_lines(path):
    """Reads a log with one JSON object per line. Skips a truncated last line, which a killed process may leave."""
    if not path.exists():
        return []
    lines = path.read_text().split("\n")
    tail = lines.pop()
    objects = [json.loads(it) for it in lines if it]
    if tail:
        try:
            objects.append(json.loads(tail))
        except ValueError:
            pass
    return objects


def find_double_executions(history):
    """Finds keys that ran more than once at a service."""
    starts = Counter((it["service"], it["key"]) for it in history.executions if it["event"] == "start" and it["key"])
    return [f"{service} ran key {key} {count} times" for (service, key), count in starts.items() if count > 1]


def find_false_not_run(history):
    """Finds requests with the outcome "not-run" that did run."""
    by_key = {(it["service"], it["key"]) for it in history.executions if it["event"] == "start" and it["key"]}
    by_root = {(it["service"], it["root"]) for it in history.executions if it["event"] == "start" and it["root"]}
    found = []
    for it in history.outcomes:
        if it["outcome"] != "not-run":
            continue
        if it["key"] and (it["service"], it["key"]) in by_key:
            found.append(f"not run ({it['reason']}), but {it['service']} ran key {it['key']}")
        elif not it["key"] and (it["service"], it["root"]) in by_root:
            found.append(f"not run ({it['reason']}), but {it['service']} ran root {it['root']}")
    return found


def find_wrong_answers(history):
    """Finds answers that are truncated, damaged or belong to another request."""
    return [
        f"{it['check']} answer for request {it['number']} of {it['service']}"
        for it in history.outcomes
        if it["check"] in ("damaged", "foreign")
    ]


def find_unfounded_answers(history):
    """Finds complete answers to orders that no backend server ran."""
    ran = {(it["service"], it["key"]) for it in history.executions if it["event"] == "start"}
    return [
        f"answer without an execution of key {it['key']} at {it['service']}"
        for it in history.outcomes
        if it["outcome"] == "answer" and it["check"] == "whole" and it["key"] and (it["service"], it["key"]) not in ran
    ]


def find_work_after_drain(history):
    """Finds requests that reached a backend server more than DRAIN_LIMIT_MS after its drain began."""
    drains = {it["instance"]: it["wallMs"] for it in history.executions if it["event"] == "drain"}
    return [
        f"{it['service']} instance {it['instance']} got work {it['wallMs'] - drains[it['instance']]} ms after its drain began"
        for it in history.executions
        if it["event"] == "accept" and it["instance"] in drains and it["wallMs"] - drains[it["instance"]] > DRAIN_LIMIT_MS
    ]


def find_cut_requests(history):
    """Finds requests with unknown outcome or cut execution in a run with only planned stops."""
    if not history.is_planned:
        return []
    found = [f"request {it['number']} ended unknown ({it['reason']}) in a planned stop" for it in history.outcomes if it["outcome"] == "unknown"]
    ended = Counter((it["instance"], it["root"]) for it in history.executions if it["event"] == "end" and it["result"] != "cancelled")
    started = Counter((it["instance"], it["root"]) for it in history.executions if it["event"] == "start")
    found += [f"root {root} was cut at instance {instance}" for (instance, root), count in started.items() if ended[(instance, root)] < count]
    return found


def find_too_many_attempts(history):
    """Finds lookups that reached the backend servers of one service more often than their retry budget allows."""
    if history.max_attempts is None:
        return []
    reached = defaultdict(int)
    for it in history.executions:
        if it["event"] == "accept" and it["root"] and not it["key"]:
            reached[(it["service"], it["root"])] += 1
    return [f"root {root} reached {service} {count} times" for (service, root), count in reached.items() if count > history.max_attempts]


def find_unauthorized(executions, outcomes, since_ms=0):
    """Finds executions at or after since_ms of requests whose key isn't valid."""
    roots = {it["root"] for it in outcomes}
    return [
        f"{it['service']} ran root {it['root']} without a valid key at {it['wallMs']}"
        for it in executions
        if it["event"] == "start" and it["root"] in roots and it["wallMs"] >= since_ms
    ]


def find_wrongly_unauthorized(outcomes):
    """Finds requests with a valid key that were refused for want of one."""
    return [f"request {it['number']} with a valid key ended with {it['reason']}" for it in outcomes if it["reason"] == "customer-unknown"]


CHECKS = (
    find_double_executions,
    find_false_not_run,
    find_wrong_answers,
    find_unfounded_answers,
    find_work_after_drain,
    find_cut_requests,
    find_too_many_attempts,
)


def find_violations(history):
    """Returns a text per violation."""
    return [text for check in CHECKS for text in check(history)]

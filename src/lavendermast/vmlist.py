"""Validates the platform's list of live and leaving VMs."""

_TEXT_KEYS = ("name", "region", "zone", "address")
_KINDS = ("entry", "server")
_STATES = ("live", "leaving")


def check_vm_list(value):
    """
    Return the findings of a VM list, empty when it can be used.

    :param value: the decoded list.

    >>> check_vm_list({"revision": 1, "vms": [{"name": "a"}]})[0]
    'vms[0]: region is missing or not text'
    """
    vms = value.get("vms") if isinstance(value, dict) else None
    if not isinstance(vms, list):
        return ["vms is missing or not an array"]
    findings = []
    for number, vm in enumerate(vms):
        findings += [f"vms[{number}]: {text}" for text in _check_entry(vm)]
    names = [vm["name"] for vm in vms if isinstance(vm, dict) and "name" in vm]
    if not findings and len(set(names)) != len(names):
        findings.append("vms: duplicate name")
    return findings


def _check_entry(vm):
    if not isinstance(vm, dict):
        return ["not an object"]
    findings = [
        f"{key} is missing or not text"
        for key in _TEXT_KEYS
        if not isinstance(vm.get(key), str) or not vm[key]
    ]
    if vm.get("kind") not in _KINDS:
        findings.append(f"kind is not one of {', '.join(_KINDS)}")
    if vm.get("state") not in _STATES:
        findings.append(f"state is not one of {', '.join(_STATES)}")
    if vm.get("kind") == "server" and not isinstance(vm.get("service"), str):
        findings.append("service is missing or not text")
    if vm.get("kind") == "entry" and not isinstance(vm.get("peer_address"), str):
        findings.append("peer_address is missing or not text")
    return findings

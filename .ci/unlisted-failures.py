"""Exits with 1 if a test failed that is not listed as a known fault, or if no test ran.

Arguments: the known faults as Class.method.
"""
import glob
import sys
import xml.etree.ElementTree as reports

known = set(sys.argv[1:])
failed, ran = set(), 0
for report in glob.glob("*/target/surefire-reports/TEST-*.xml"):
    for case in reports.parse(report).getroot().iter("testcase"):
        ran += 1
        if case.find("failure") is not None or case.find("error") is not None:
            failed.add(case.get("classname").split(".")[-1] + "." + case.get("name"))
for name in sorted(failed):
    print("failed:", name, "(known)" if name in known else "(not listed)")
for name in sorted(known - failed):
    print("listed, but passed:", name)
print(ran, "tests ran,", len(failed), "failed,", len(failed - known), "of them not listed")
sys.exit(1 if failed - known or not ran else 0)

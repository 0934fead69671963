package org.sassafrastrail.acceptance.sessions;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the Cucumber scenarios. {@code -Dgolden.update=true} overwrites the approved transcripts. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("features")
class GoldenSessionsTest {}

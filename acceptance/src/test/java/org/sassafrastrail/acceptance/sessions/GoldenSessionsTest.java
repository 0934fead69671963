package org.sassafrastrail.acceptance.sessions;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios. {@code -Dgolden.update=true} writes the transcripts anew. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("features")
class GoldenSessionsTest {}

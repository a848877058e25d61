package io.jaybeam.scenarios

import org.junit.platform.suite.api.IncludeEngines
import org.junit.platform.suite.api.SelectClasspathResource
import org.junit.platform.suite.api.Suite

/** Runs the scenarios of all features against real processes. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
internal class ScenariosTest

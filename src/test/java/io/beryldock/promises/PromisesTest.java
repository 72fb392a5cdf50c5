package io.beryldock.promises;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the features in the users' words on real nodes over loopback. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("io/beryldock/promises")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "io.beryldock.promises")
class PromisesTest {}

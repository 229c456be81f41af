package io.dragonflyturn.scenario;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs all Cucumber scenarios, three of them in parallel. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("io.dragonflyturn.scenario")
@ConfigurationParameter(key = "cucumber.glue", value = "io.dragonflyturn.scenario")
@ConfigurationParameter(key = "cucumber.plugin", value = "summary")
@ConfigurationParameter(key = "cucumber.execution.parallel.enabled", value = "true")
@ConfigurationParameter(key = "cucumber.execution.parallel.config.strategy", value = "fixed")
@ConfigurationParameter(key = "cucumber.execution.parallel.config.fixed.parallelism", value = "3")
@ConfigurationParameter(key = "cucumber.execution.parallel.config.fixed.max-pool-size", value = "3")
class ScenariosTest {}

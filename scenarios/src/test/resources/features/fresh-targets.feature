@fresh-targets
Feature: A target that has just started receives no more work than it can bear

  Scenario: Several entries, a restart and an unannounced fall back into cold start
    Given a site with 3 entries and 2 model targets that bear 2 requests when cold and 12 when warm after 2000 ms
    And 20 callers stream answers of 20 tokens
    When 3000 ms pass
    Then the process "target-model-1" still runs
    And the process "target-model-2" still runs
    When the process "target-model-1" is killed
    And the target of "model-1" is started again
    And 5000 ms pass
    Then the process "target-model-1" still runs
    When the target of "model-2" falls back into cold start
    And 4000 ms pass
    Then the process "target-model-1" still runs
    And the process "target-model-2" still runs
    And some streamed answers were whole

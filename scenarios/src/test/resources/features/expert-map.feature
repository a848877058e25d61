@expert-map
Feature: In every step all ranks of a group use one and the same expert map

  Scenario: Popularity drifts and the map follows, on ranks that check fencing numbers
    Given a site with 1 entries and 1 model targets with fenced ranks
    And 4 callers stream answers of 40 tokens
    When experts 0 and 1 of target "model-1" become popular
    Then within 10 s the ranks of "model-1" run a newer map than 0
    And no step of "model-1" was mixed
    And no streamed answer failed, and each was whole and its own

  Scenario: The side is killed again and again while the map changes, on ranks that ignore fencing numbers
    Given a site with 1 entries and 1 model targets with unfenced ranks
    And popularity of experts of "model-1" keeps changing
    When the side of "model-1" is killed and started again 4 times, 700 ms apart
    Then within 10 s the ranks of "model-1" run a newer map than 0
    And no step of "model-1" was mixed
    And the ranks of "model-1" still take steps

  Scenario: A side frozen in the middle of a change wakes beside its replacement, on ranks that ignore fencing numbers
    Given a site with 1 entries and 1 model targets with unfenced ranks
    And popularity of experts of "model-1" keeps changing
    When 3000 ms pass
    And the process "side-model-1" is frozen
    And a replacement of the side of "model-1" starts
    And 4000 ms pass
    And the process "side-model-1" is thawed
    And 3000 ms pass
    Then no step of "model-1" was mixed
    And the ranks of "model-1" still take steps

  Scenario: The weight store is slow and the log goes out
    Given a site with 1 entries and 1 model targets with unfenced ranks
    And the weight store gives 2000000 bytes a second
    And popularity of experts of "model-1" keeps changing
    When 2000 ms pass
    And the log is out
    And the process "side-model-1" is killed
    And the side of "model-1" is started again
    And 3000 ms pass
    Then no step of "model-1" was mixed
    When the log is back
    Then within 20 s the ranks of "model-1" run a newer map than 0
    And the ranks of "model-1" still take steps
    And no step of "model-1" was mixed

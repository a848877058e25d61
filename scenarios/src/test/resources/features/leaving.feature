@leaving
Feature: A data centre that is out and a target that is leaving get no new work after a few seconds

  Scenario: A data centre leaves and returns under load
    Given a site with 2 entries, 4 model targets and 0 booking targets
    And 6 callers stream answers of 20 tokens
    When operator "ann" takes data centre "pdx" out
    Then after 3000 ms no new work reaches data centre "pdx" for 2000 ms
    When operator "ann" takes data centre "pdx" in
    Then within 4 s new work reaches data centre "pdx"
    And no streamed answer failed, and each was whole and its own

  Scenario: A data centre leaves while its sides and an entry cannot reach the log
    Given a site with 2 entries, 4 model targets and 0 booking targets
    And 6 callers stream answers of 20 tokens
    When the process on "model-1" is cut off from the log
    And the process on "model-4" is cut off from the log
    And the process on "entry-2" is cut off from the log
    And operator "ann" takes data centre "pdx" out
    Then after 3000 ms no new work reaches data centre "pdx" for 2000 ms
    And no streamed answer failed, and each was whole and its own

  Scenario: An instance that the platform lists as leaving
    Given a site with 2 entries, 3 model targets and 0 booking targets
    And 6 callers stream answers of 20 tokens
    When the instance list calls "model-2" leaving
    Then after 3000 ms no new work reaches target "model-2" for 2000 ms
    And no streamed answer failed, and each was whole and its own

  Scenario: A target that says in its answers that it leaves
    Given a site with 2 entries, 0 model targets and 3 booking targets
    And target "booking-1" says in its answers that it leaves
    When 12 bookings are sent one after the other through each entry
    Then all but 0 of them are answered with status 200, and target "booking-1" ran at most 1

  Scenario: A target that turns a request away and asks for a pause
    Given a site with 2 entries, 0 model targets and 3 booking targets
    And target "booking-1" answers 503 with Retry-After 20
    When 12 bookings are sent one after the other through each entry
    Then all but 1 of them are answered with status 200, and target "booking-1" ran at most 1

  Scenario: A frozen entry that wakes with an old view gives a data centre that is out no work
    Given a site with 2 entries, 4 model targets and 0 booking targets
    When the process "entry-1" is frozen
    And operator "ann" takes data centre "pdx" out
    And 3000 ms pass
    And the process "entry-1" is thawed
    And 1 callers stream 10 answers through entry 1
    Then no work reached data centre "pdx" since the last change

@graceful-stop
Feature: Every planned stop is graceful and cuts off no request

  Scenario: Rolling restart of every entry and side under load with long streams
    Given a site with 2 entries, 3 model targets and 0 booking targets
    And 6 callers stream answers of 200 tokens
    When every side is stopped and started again in turn
    And every entry is stopped and started again in turn
    Then no streamed answer failed, and each was whole and its own

  Scenario: SIGTERM twice, with a stream under way
    Given a site with 1 entries, 1 model targets and 0 booking targets
    And 1 callers stream 1 answers of 400 tokens in the background through entry 1
    When the process "side-model-1" is asked to stop
    And the process "entry-1" is asked to stop
    And the process "side-model-1" is asked to stop
    And the process "entry-1" is asked to stop
    Then the process "side-model-1" has ended with exit code 0
    And the process "entry-1" has ended with exit code 0
    And no streamed answer failed, and each was whole and its own

  Scenario: SIGTERM while an entry starts
    Given a site with 2 entries, 1 model targets and 0 booking targets
    When the process "entry-2" is killed
    And entry 2 is started and asked to stop as soon as it runs
    Then the process "entry-2" has ended with exit code 0

  Scenario: SIGTERM as soon as an entry's port for callers is open
    Given a site with 2 entries, 1 model targets and 0 booking targets
    When the process "entry-2" is killed
    And entry 2 is started and asked to stop as soon as its port is open
    Then the process "entry-2" has ended with exit code 0

  Scenario: A client that never reads does not keep others from being served
    Given a site with 1 entries, 1 model targets and 0 booking targets
    When a client asks entry 1 for 2000 tokens and never reads
    And 1 callers stream 5 answers through entry 1
    Then no streamed answer failed, and each was whole and its own

  Scenario: An entry that has just started is not ready before it knows its targets
    Given a site with 2 entries, 0 model targets and 1 booking targets
    And the instance list takes 1500 ms longer for each call
    When the process "entry-2" is killed
    And entry 2 is started again and asked for a ticket for booking "early" as soon as it is ready
    And booking "early" is sent again through entry 2
    Then reply 1 to booking "early" is whole

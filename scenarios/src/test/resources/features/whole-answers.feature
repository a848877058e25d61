@whole-answers
Feature: A caller gets the whole answer to its own request

  Scenario: Links cut and silent in the middle of streams
    Given a site with 2 entries, 2 model targets and 0 booking targets
    And 6 callers stream answers of 300 tokens
    When 1000 ms pass
    And open connections to the side of "model-1" are reset
    And 500 ms pass
    And open connections to the side of "model-2" go silent
    And 3500 ms pass
    And open connections to the side of "model-1" are reset
    Then no streamed answer failed, and each was whole and its own

  Scenario: The engine dies in the middle of a stream
    Given a site with 1 entries, 1 model targets and 0 booking targets
    And 1 callers stream 1 answers of 2000 tokens in the background through entry 1
    When 1000 ms pass
    And the process "target-model-1" is killed
    Then the streamed answer ended as a visible error

  Scenario: The booking service cuts its answer
    Given a site with 1 entries, 0 model targets and 1 booking targets
    And the booking services cut their answers after 10 bytes
    When booking "cut" is sent with a ticket through entry 1
    Then reply 1 to booking "cut" is cut or says "outcome unknown"
    And booking "cut" ran 1 time

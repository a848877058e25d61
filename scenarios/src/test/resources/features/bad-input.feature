@bad-input
Feature: Bad input gets a clear error to that one caller, and everyone else is served on

  Scenario: Malformed and oversize requests
    Given a site with 1 entries, 1 model targets and 1 booking targets
    And 2 callers stream answers of 20 tokens
    Then these requests to entry 1 are refused as not run
      | path                   | organisation | body                      | status | detail               |
      | /v1/chat/completions   | north-lens   | {"model":                 | 400    | not JSON             |
      | /v1/chat/completions   | north-lens   | {"messages": []}          | 400    | \"model\"            |
      | /v1/chat/completions   | north-lens   | {"model": "nobody"}       | 404    | nobody               |
      | /v1/chat/completions   |              | {"model": "counter-chat"} | 400    | Jaybeam-Organisation |
      | /services/nothing/x    | north-lens   | {}                        | 404    | nothing              |
      | /services/booking/x    | north-lens   | 2 MB                      | 413    | 1048576 bytes        |
    And garbage, an oversize header and half a request on raw connections to entry 1 harm nobody
    And garbage on the link port of "model-1" harms nobody
    And no streamed answer failed, and each was whole and its own

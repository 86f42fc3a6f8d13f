// The configuration language of milletyoke: what a deployment agrees on. This file is the reference.
// Remarks run from # to the end of the line and go to a channel of their own, so that the formatter keeps them.
grammar Fleet;

file
    : statement* EOF
    ;

statement
    : 'include' STRING ';'                                   # includeFile
    | 'let' NAME '=' expression ';'                          # constant
    | kind=('bounds' | 'allowances' | 'fleet') body          # single
    | kind=('pool' | 'plan' | 'volume' | 'category' | 'tenant' | 'template') name=label ('like' parent=label)? body   # block
    | 'route' what=('volume' | 'prefix') pattern=label 'to' pool=label ';'   # route
    ;

body
    : '{' setting* '}'
    ;

setting
    : key value (',' value)* ';'
    ;

value
    : expression
    | STRING
    ;

// A bare word is a name where a word is expected (repeats one-shot), and a constant where a figure is.
expression
    : '(' expression ')'                                     # group
    | left=expression op=('*' | '/') right=expression        # product
    | left=expression op=('+' | '-') right=expression        # sum
    | '-' expression                                         # minus
    | QUANTITY                                               # quantity
    | key                                                    # word
    ;

label
    : key
    | STRING
    ;

// The language's own words are names where a name is expected.
key
    : NAME | 'include' | 'let' | 'bounds' | 'allowances' | 'fleet' | 'pool' | 'plan' | 'volume' | 'category' | 'tenant'
    | 'template' | 'like' | 'route' | 'prefix' | 'to'
    ;

// A figure and, without a blank between, its unit.
QUANTITY
    : DIGIT+ ('.' DIGIT+)? UNIT?
    ;

fragment UNIT
    : '%' | LETTER+ ('/' LETTER+)?
    ;

NAME
    : LETTER (LETTER | DIGIT | '_' | '-' (LETTER | DIGIT))* ('-'? '*')?
    ;

STRING
    : '"' (~["\\\r\n] | '\\' ["\\])* '"'
    ;

REMARK
    : '#' ~[\r\n]* -> channel(HIDDEN)
    ;

BLANK
    : [ \t\r\n\uFEFF]+ -> channel(HIDDEN)
    ;

// What is nothing else is told by the parser at its place, not by the lexer.
OTHER
    : .
    ;

fragment DIGIT : [0-9] ;
fragment LETTER : [a-zA-Z] ;

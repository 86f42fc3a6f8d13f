// Grammar of the fleet configuration language: the settings that all initiators of a deployment share. This file is the
// reference for the syntax. Comments run from # to the end of the line and go to the hidden channel, from which the
// formatter copies them.
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

// A key is a keyword or name where the setting takes one (repeats one-shot), and refers to a constant where the setting
// takes a quantity.
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

// Keywords of the language are allowed as names.
key
    : NAME | 'include' | 'let' | 'bounds' | 'allowances' | 'fleet' | 'pool' | 'plan' | 'volume' | 'category' | 'tenant'
    | 'template' | 'like' | 'route' | 'prefix' | 'to'
    ;

// A number, followed by its unit without white space in between.
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

// Catch-all: invalid characters become tokens, so that the parser reports each at its position.
OTHER
    : .
    ;

fragment DIGIT : [0-9] ;
fragment LETTER : [a-zA-Z] ;
